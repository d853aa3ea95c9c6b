import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What all cases share: the record, processes, ports, settings of a gateway, and a client. */
final class Case {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long START = System.nanoTime();
    private static PrintStream record;
    private static final List<Process> processes = new ArrayList<>();
    private static Path scratch;

    interface Body {
        /** Returns true if the rule held. */
        boolean run() throws Exception;
    }

    interface Task {
        void run() throws Exception;
    }

    /** Runs a case whose folder is the first argument; exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(String[] args, Body body) {
        int status = 2;
        try {
            record = new PrintStream(new File(args[0], "record.txt"));
            scratch = Files.createTempDirectory("review");
            Runtime.getRuntime().addShutdownHook(new Thread(Case::endAll));
            daemon("limit", () -> {
                Thread.sleep(110_000);
                log("case took too long");
                endAll();
                Runtime.getRuntime().halt(2);
            });
            log("TROUBLE=" + (TROUBLE ? 1 : 0));
            status = body.run() ? 0 : 1;
            log(status == 0 ? "RESULT: the rule held" : "RESULT: the rule was broken");
        } catch (Throwable e) {
            log("case could not run: " + e);
            e.printStackTrace();
        }
        endAll();
        System.out.println(status == 0 ? "held" : status == 1 ? "broken" : "could not run");
        Runtime.getRuntime().halt(status);
    }

    static synchronized void log(String line) {
        String text = String.format("%8.3f  %s", nowMs() / 1000.0, line);
        if (record != null) {
            record.println(text);
            record.flush();
        }
    }

    /** Milliseconds since the case began. */
    static long nowMs() {
        return (System.nanoTime() - START) / 1_000_000L;
    }

    static void daemon(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The other end has closed the connection.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (Exception e) {
                log(name + " failed: " + e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static synchronized void endAll() {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        if (scratch != null) {
            File[] files = scratch.toFile().listFiles();
            if (files != null) for (File file : files) file.delete();
            scratch.toFile().delete();
        }
    }

    static synchronized Process start(ProcessBuilder builder) throws IOException {
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** A gateway process, started with the command of the deploy file. */
    static final class Gateway {
        final String name;
        final int callers = freePort();
        final int readiness = freePort();
        final int directory = freePort();
        final Process process;

        Gateway(String name, int storePort) throws IOException {
            this.name = name;
            String settings =
                String.join("\n",
                    "NodeName=" + name, "Role=entry", "MachineClass=frontend", "Serves=frontend,registry", "Ip=127.0.0.1", "Zone=zone-a",
                    "Region=region", "Zones.zone-a=region", "Listen.Frontend=127.0.0.1:" + callers,
                    "Listen.Readiness=127.0.0.1:" + readiness, "Listen.Registry=127.0.0.1:" + directory,
                    "PortRange=" + freePort() + "," + freePort(), "Bootstrap=true", "FaultCounted=false", "Limits.CpuFraction=0.75",
                    "Limits.Cores=1", "Limits.MemoryMb=430", "Limits.MaxFds=4100", "Limits.BandwidthMbps=1000.0", "Limits.DiskMb=0",
                    "Discovery=platform", "Entry=registry", "HeartbeatMs=1200", "FaultTolerance.Machines=1", "Bounds.SeedLagS=3",
                    "Bounds.ReuseAfterS=2", "Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.CatchUpS=4", "Bounds.DrainMs=2000",
                    "Bounds.GraceS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.RollbackSlackMs=250",
                    "Bounds.MaxSkewMs=5000", "Bounds.StrictRevocation=true", "Bounds.RevokeMs=5000", "Bounds.RetryBudgetRatio=0.2",
                    "Bounds.BudgetWindowS=10", "Bounds.RetrySlack=52", "Bounds.QuotaWindowS=8", "Bounds.QuotaOverage=0.1",
                    "Bounds.QuotaSlack=110000", "Bounds.RecoveryS=12", "Bounds.PassMs=120", "Bounds.RetryAfterS=0",
                    "Bounds.FencingEnforced=false", "Bounds.LeaseMs=3000", "Bounds.ThawMs=300", "Bounds.CeilingWindowS=5",
                    "Bounds.CeilingOverage=1.1", "Bounds.version_ms=5000", "Bounds.ttl_max_s=5", "Platform.Address=127.0.0.1:" + storePort,
                    "Platform.form=objects", "Platform.WritesPerS=400", "Platform.ReadsPerS=2000", "Platform.HistoryS=20",
                    "Platform.ValueBytes=1048576", "Platform.TtlMinMs=1000", "");
            Path file = scratch.resolve(name + ".conf");
            Files.writeString(file, settings);
            ProcessBuilder builder = new ProcessBuilder(runLine().split(" "));
            builder.environment().put("SKYLARKSTILE_CONFIG", file.toString());
            builder.redirectErrorStream(true);
            process = start(builder);
            log(name + " started with the run line of deploy/system.toml, callers at 127.0.0.1:" + callers);
            daemon("output", () -> {
                InputStream in = process.getInputStream();
                java.io.BufferedReader reader = new java.io.BufferedReader(new java.io.InputStreamReader(in));
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    if (System.getenv("GATEWAY_LOG") != null) log(name + ": " + line);
                }
            });
        }

        private static String runLine() throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
            throw new IOException("no run line in deploy/system.toml");
        }

        /** Waits until the readiness check is answered with 200. */
        void awaitReady() throws Exception {
            long until = nowMs() + 30_000;
            while (nowMs() < until) {
                try (Socket socket = connect(readiness)) {
                    socket.getOutputStream().write("GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
                    Http.Head head = Http.head(new BufferedInputStream(socket.getInputStream()));
                    if (head != null && head.status() == 200) {
                        log(name + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                Thread.sleep(100);
            }
            throw new IOException(name + " did not become ready");
        }
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** What a client saw of one request: a status and a whole body, or the way in which the answer ended. */
    static final class Outcome {
        Http.Head head;
        byte[] body;
        String failure;

        /** What is left of the connection after the answer. */
        InputStream rest;

        int status() {
            return head == null ? 0 : head.status();
        }

        @Override
        public String toString() {
            if (failure != null) return failure + (head == null ? "" : " after status " + head.status());
            return head.status() + ", " + (body == null ? 0 : body.length) + " bytes, signature " + head.get("x-server-signature");
        }
    }

    /** Sends one request on [socket] and reads its answer. */
    static Outcome exchange(Socket socket, String head, byte[] body, int timeoutMs) {
        Outcome outcome = new Outcome();
        try {
            socket.setSoTimeout(timeoutMs);
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes());
            out.write(body);
            out.flush();
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            outcome.rest = in;
            outcome.head = Http.head(in);
            if (outcome.head == null) outcome.failure = "connection closed without an answer";
            else outcome.body = Http.body(in, outcome.head);
        } catch (java.net.SocketTimeoutException e) {
            outcome.failure = "no answer within " + timeoutMs + " ms";
        } catch (IOException e) {
            outcome.failure = "connection ended: " + e.getMessage();
        }
        return outcome;
    }

    /** Sends one request on a new connection. */
    static Outcome request(int port, String head, byte[] body, int timeoutMs) {
        try (Socket socket = connect(port)) {
            return exchange(socket, head, body, timeoutMs);
        } catch (IOException e) {
            Outcome outcome = new Outcome();
            outcome.failure = "no connection: " + e.getMessage();
            return outcome;
        }
    }

    /** An entry of a replica as it writes it to the store. */
    static Map<String, Object> entry(String service, int port, int slots, String state, List<Object> models) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("Service", service);
        entry.put("Address", "127.0.0.1:" + port);
        entry.put("Zone", "zone-a");
        entry.put("Version", "v1");
        entry.put("Slots", slots);
        entry.put("State", state);
        entry.put("ColdRemainingMs", 0);
        if (models != null) {
            entry.put("Phase", "both");
            entry.put("Models", models);
        }
        entry.put("Sequence", 0);
        return entry;
    }

    static Map<String, Object> limits() {
        return Json.of("MaxHeaderBytes", 16_384, "MaxBodyBytes", 4_194_304, "HeaderTimeoutMs", 3_000, "IdleTimeoutMs", 15_000);
    }
}
