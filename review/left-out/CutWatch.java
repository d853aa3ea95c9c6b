import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store cuts off the watches that wait, as it may. 1.2 s later the entry of a replica is removed that never reported that it drains. Requests
 * must not reach the replica later than DrainMs after that.
 */
final class CutWatch {
    private static final long DRAIN_MS = 2_000;

    /** Added to the bound, so that no borderline request counts. */
    private static final long MARGIN_MS = 50;
    private static final int GATEWAYS = 2;

    /** A request that a client sent at [sentAt] and that reached [replica] at [reachedAt]. */
    private static final class Arrival {
        final String call;
        final String replica;
        final long reachedAt;

        Arrival(String call, String replica, long reachedAt) {
            this.call = call;
            this.replica = replica;
            this.reachedAt = reachedAt;
        }
    }

    private final Store store = new Store();
    private final ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Map<String, Long> sentAt = new java.util.concurrent.ConcurrentHashMap<>();
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean isOver = false;

    private CutWatch() throws Exception {
    }

    public static void main(String[] args) {
        Case.main(args, () -> new CutWatch().run());
    }

    private boolean run() throws Exception {
        store.put("config", "main", configuration());
        int[] ports = new int[5];
        for (int i = 1; i <= 3; i++) ports[i] = replica("i-" + i);
        for (int i = 1; i <= 3; i++) enter(i, ports[i], "ready");
        List<Proxy> proxies = new ArrayList<>();
        List<Case.Gateway> gateways = new ArrayList<>();
        for (int i = 1; i <= GATEWAYS; i++) {
            Proxy proxy = new Proxy(store.port());
            proxies.add(proxy);
            gateways.add(new Case.Gateway("front-" + i, proxy.port()));
        }
        for (Case.Gateway gateway : gateways) gateway.awaitReady();
        // The wait also lets both machines register, so that they are in touch and the store is quiet.
        Thread.sleep(6_000);
        for (Case.Gateway gateway : gateways) for (int i = 0; i < 4; i++) Case.daemon("client", () -> client(gateway));
        Thread.sleep(2_000);

        // Watches that wait are cut off; after 1.2 s a replica leaves that never reports that it drains.
        long cutAt = Case.nowMs();
        if (Case.TROUBLE) {
            int count = 0;
            for (Proxy proxy : proxies) count += proxy.cut();
            Case.log("the store cuts off the " + count + " watches that wait");
        }
        Thread.sleep(1_200);
        store.delete("servers", "i-1");
        long goneAt = Case.nowMs();
        Case.log("the store has no entry of i-1 any more");
        Thread.sleep(6_000);
        isOver = true;
        Thread.sleep(500);
        int broken = 0;
        for (Arrival arrival : arrivals) {
            long lateMs = arrival.reachedAt - goneAt - DRAIN_MS;
            if (!arrival.replica.equals("i-1") || lateMs <= MARGIN_MS) continue;
            broken++;
            Case.log("DRAIN: " + arrival.call + " reached i-1 " + lateMs + " ms past DrainMs, " + (arrival.reachedAt - cutAt) + " ms after the watches were cut off");
        }
        Case.log(calls.get() + " requests, " + served.get() + " served, " + broken + " too late");
        return broken == 0;
    }

    /** Writes the entry of replica [number] and returns the time at which the store had accepted it. */
    private long enter(int number, int port, String state) {
        store.put("servers", "i-" + number, Case.entry("registry", port, 6, state, null));
        Case.log("the store accepts that replica i-" + number + " is " + state);
        return Case.nowMs();
    }

    private void client(Case.Gateway gateway) throws Exception {
        while (!isOver) {
            String id = "call-" + calls.incrementAndGet();
            sentAt.put(id, Case.nowMs());
            String head =
                "GET /lookup/" + id + " HTTP/1.1\r\nHost: plates.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: 1500\r\n\r\n";
            Case.Outcome outcome = Case.request(gateway.callers, head, new byte[0], 2_000);
            if (outcome.status() == 200 && outcome.failure == null) served.incrementAndGet();
            else Case.log("client gets for " + id + ": " + outcome);
            Thread.sleep(30);
        }
    }

    private int replica(String id) throws Exception {
        ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Case.daemon(id, () -> {
            while (true) {
                Socket socket = server.accept();
                Case.daemon(id + "-connection", () -> serve(id, socket));
            }
        });
        return server.getLocalPort();
    }

    private void serve(String id, Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.head(in);
                if (head == null) return;
                Http.bytes(in, head.length());
                String call = head.get("x-attempt-id");
                String answer = "HTTP/1.1 200 OK\r\nX-Replica-Id: " + id + "\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n";
                if (call != null) {
                    arrivals.add(new Arrival(call, id, Case.nowMs()));
                    Thread.sleep(10);
                    answer += "X-Attempt-Id: " + call + "\r\nX-Server-Signature: s." + id + "\r\n";
                }
                out.write((answer + "\r\nok").getBytes());
                out.flush();
            }
        }
    }

    /** Passes connections on to the store until it closes them. */
    private static final class Proxy {
        private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> open = new ArrayList<>();

        Proxy(int target) throws Exception {
            Case.daemon("proxy", () -> {
                while (true) {
                    Socket caller = server.accept();
                    Socket callee = Case.connect(target);
                    caller.setTcpNoDelay(true);
                    synchronized (open) {
                        open.add(caller);
                    }
                    Case.daemon("proxy-request", () -> pump(caller, callee));
                    Case.daemon("proxy-answer", () -> pump(callee, caller));
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        /** Closes all open connections; returns their number. */
        int cut() throws Exception {
            synchronized (open) {
                int count = open.size();
                for (Socket socket : open) socket.close();
                open.clear();
                return count;
            }
        }

        private void pump(Socket from, Socket to) throws Exception {
            try (from; to) {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                byte[] data = new byte[16_384];
                for (int n = in.read(data); n >= 0; n = in.read(data)) out.write(data, 0, n);
            } finally {
                synchronized (open) {
                    open.remove(from);
                    open.remove(to);
                }
            }
        }
    }

    private static Map<String, Object> configuration() {
        return Json.of(
            "Version", 7,
            "Routes", List.of(Json.of("Name", "r-1", "Host", "plates.example", "PathPrefix", "/lookup/", "Type", "safe", "TimeoutMs", 800, "TargetLatencyMs", 100, "Priority", 0, "Service", "registry", "MaxAttempts", 2, "Public", true)),
            "Services", List.of(Json.of("Name", "registry", "HealthPath", "/healthz", "MaxConnections", 96, "Protocol", "h1", "Tls", false)),
            "Limits", Case.limits(),
            "Tenants", List.of(Json.of("Name", "tenant-1", "ApiKeys", List.of("key-1"), "Priority", 1)));
    }
}
