import java.io.BufferedInputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The keys of the only tenant are taken away, with the tenant. Requests with them, or with keys that never were, must not run any more. */
final class LastTenant {
    private static final long REVOKE_MS = 5_000;
    private static final long MARGIN_MS = 200;
    private final Store store = new Store();
    private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private final Map<String, String> ran = new ConcurrentHashMap<>();

    private LastTenant() throws Exception {
    }

    public static void main(String[] args) {
        Case.main(args, () -> new LastTenant().run());
    }

    private boolean run() throws Exception {
        store.put("config", "main", configuration(7, List.of(Json.of("Name", "tenant-1", "ApiKeys", List.of("key-1", "key-2"), "Priority", 1))));
        ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Case.daemon("replica", () -> {
            while (true) {
                Socket socket = server.accept();
                Case.daemon("replica-connection", () -> serve(socket));
            }
        });
        store.put("servers", "i-1", Case.entry("registry", server.getLocalPort(), 6, "ready", null));
        Case.Gateway gateway = new Case.Gateway("front-1", store.port());
        gateway.awaitReady();
        Thread.sleep(2_000);
        long revokedAt = Long.MAX_VALUE;
        int served = 0;
        int unknownRan = 0;
        int revokedRan = 0;
        long end = Case.nowMs() + 12_000;
        for (int i = 1; Case.nowMs() < end; i++) {
            if (Case.TROUBLE && revokedAt == Long.MAX_VALUE && i > 20) {
                store.put("config", "main", configuration(8, List.of()));
                revokedAt = Case.nowMs();
                Case.log("the store accepts version 8, in which the tenant and its keys are gone");
            }
            String key = i % 4 == 0 ? "never-held" : i % 2 == 0 ? "key-1" : "key-2";
            String call = "call-" + i;
            long sent = Case.nowMs();
            String head =
                "POST /register/ HTTP/1.1\r\nHost: plates.example\r\nX-Attempt-Id: " + call + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer " + key
                    + "\r\nContent-Length: 2\r\n\r\n";
            Case.Outcome outcome = Case.request(gateway.callers, head, "{}".getBytes(), 2_000);
            Case.log("client sends " + call + " with " + key + " and gets " + outcome);
            if (outcome.status() == 200) served++;
            if (ran.containsKey(call) && key.equals("never-held")) {
                unknownRan++;
                Case.log("ROUTE: " + call + " ran with a key that no configuration ever held");
            } else if (ran.containsKey(call) && revokedAt < sent && sent - revokedAt > REVOKE_MS + MARGIN_MS) {
                revokedRan++;
                Case.log("CONFIG: " + call + " ran, sent " + (sent - revokedAt) + " ms after its key was taken away");
            }
            Thread.sleep(150);
        }
        Case.log(served + " served, " + revokedRan + " ran with a key that was taken away, " + unknownRan + " with a key that never was");
        if (served < 10) throw new IllegalStateException("only " + served + " requests were served");
        return revokedRan + unknownRan == 0;
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.head(in);
                if (head == null) return;
                Http.bytes(in, head.length());
                String call = head.get("x-attempt-id");
                if (call != null) ran.put(call, "" + head.get("x-tenant"));
                out.write(("HTTP/1.1 200 OK\r\nX-Replica-Id: i-1\r\nContent-Length: 2\r\n"
                    + (call == null ? "" : "X-Attempt-Id: " + call + "\r\nX-Server-Signature: s.i-1\r\n") + "\r\nok").getBytes());
                out.flush();
            }
        }
    }

    private static Map<String, Object> configuration(int version, List<Object> tenants) {
        return Json.of(
            "Version", version,
            "Routes", List.of(Json.of("Name", "r-1", "Host", "plates.example", "PathPrefix", "/register/", "Type", "unsafe", "TimeoutMs", 800, "TargetLatencyMs", 100, "Priority", 2, "Service", "registry", "MaxAttempts", 1, "Public", false)),
            "Services", List.of(Json.of("Name", "registry", "HealthPath", "/healthz", "MaxConnections", 96, "Protocol", "h1", "Tls", false)),
            "Limits", Case.limits(),
            "Tenants", tenants);
    }
}
