import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;

/**
 * A replica answers before it has read a long body, with an answer that has no length. It is killed in the middle of that answer. The
 * client must not get the first half as a complete answer.
 */
final class CrashedAnswer {
    private static final int HALF = 6_000;
    private static final int BODY = 4_000_000;
    private static final int ROUNDS = 3;

    public static void main(String[] args) {
        if (args[0].equals("replica")) replica(args[1]);
        else Case.main(args, CrashedAnswer::run);
    }

    private static boolean run() throws Exception {
        Store store = new Store();
        store.put("config", "main", configuration());
        Case.Gateway gateway = new Case.Gateway("front-1", store.port());
        gateway.awaitReady();
        boolean held = true;
        for (int round = 1; round <= ROUNDS; round++) held &= round(store, gateway, round);
        return held;
    }

    private static boolean round(Store store, Case.Gateway gateway, int round) throws Exception {
        String id = "i-" + round;
        Process process =
            Case.start(
                new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-Xmx32m", "-cp", System.getProperty("java.class.path"), "CrashedAnswer", "replica", id)
                    .redirectError(ProcessBuilder.Redirect.INHERIT));
        BufferedReader out = new BufferedReader(new InputStreamReader(process.getInputStream()));
        int port = Integer.parseInt(out.readLine());
        store.put("servers", id, Case.entry("registry", port, 6, "ready", null));
        Thread.sleep(1_500);
        Case.daemon("replica-output", () -> {
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                Case.log(id + ": " + line);
                if (line.startsWith("sent the first half") && Case.TROUBLE) {
                    Thread.sleep(300);
                    process.destroyForcibly();
                    Case.log(id + " killed (SIGKILL)");
                } else if (line.startsWith("sent the first half")) {
                    process.getOutputStream().write('\n');
                    process.getOutputStream().flush();
                }
            }
        });
        byte[] body = new byte[BODY];
        Arrays.fill(body, (byte) 'x');
        String head =
            "POST /register/ HTTP/1.1\r\nHost: plates.example\r\nX-Attempt-Id: call-" + round + "\r\nX-Deadline-Ms: 8000\r\n"
                + "Authorization: Bearer key-1\r\nContent-Length: " + BODY + "\r\n\r\n";
        Case.log("client sends call-" + round + " with a body of " + BODY + " bytes");
        Case.Outcome outcome = Case.request(gateway.callers, head, body, 10_000);
        Case.log("client gets for call-" + round + ": " + outcome);
        store.delete("servers", id);
        process.destroyForcibly().waitFor();
        Thread.sleep(300);
        if (outcome.status() != 200 || outcome.failure != null) {
            if (!Case.TROUBLE) throw new IllegalStateException("no answer without trouble: " + outcome);
            return true;
        }
        boolean isWhole = outcome.body.length == 2 * HALF;
        if (!isWhole) Case.log("MIXED: a success that looks complete has " + outcome.body.length + " of " + 2 * HALF + " bytes");
        return isWhole;
    }

    private static java.util.Map<String, Object> configuration() {
        return Json.of(
            "Version", 7,
            "Routes", List.of(Json.of("Name", "r-1", "Host", "plates.example", "PathPrefix", "/register/", "Type", "unsafe", "TimeoutMs", 8_000, "TargetLatencyMs", 2_000, "Priority", 0, "Service", "registry", "MaxAttempts", 1, "Public", false)),
            "Services", List.of(Json.of("Name", "registry", "HealthPath", "/healthz", "MaxConnections", 96, "Protocol", "h1", "Tls", false)),
            "Limits", Case.limits(),
            "Tenants", List.of(Json.of("Name", "tenant-1", "ApiKeys", List.of("key-1"), "Priority", 1)));
    }

    /** The replica, a process of its own so that it can be killed. It prints its port, then what it does. */
    private static void replica(String id) {
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(16_384);
            server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            System.out.println(server.getLocalPort());
            while (true) {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> answer(socket, id));
                thread.setDaemon(true);
                thread.start();
            }
        } catch (Exception e) {
            System.out.println("replica failed: " + e);
        }
    }

    private static void answer(Socket socket, String id) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 1_024);
            OutputStream out = socket.getOutputStream();
            Http.Head head = Http.head(in);
            if (head == null) return;
            if (head.method().equals("GET")) {
                out.write(("HTTP/1.1 200 OK\r\nX-Replica-Id: " + id + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").getBytes());
                return;
            }
            System.out.println("runs " + head.get("x-attempt-id"));
            out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + head.get("x-attempt-id") + "\r\nX-Server-Signature: s." + id + "\r\nConnection: close\r\n\r\n").getBytes());
            byte[] half = new byte[HALF];
            Arrays.fill(half, (byte) 'a');
            out.write(half);
            out.flush();
            System.out.println("sent the first half of the answer, " + HALF + " bytes, before it has read the body");
            System.in.read();
            Http.bytes(in, head.length());
            Arrays.fill(half, (byte) 'b');
            out.write(half);
            out.flush();
            System.out.println("read the whole body and sent the second half");
        } catch (Exception e) {
            System.out.println("connection ended: " + e);
        }
    }
}
