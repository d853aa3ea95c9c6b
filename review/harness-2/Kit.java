import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** What the scripts share: HTTP messages, the platform's store, replicas, gateway processes and the record. All addresses are loopback. */
final class Kit {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final long START = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    static long ms() { return (System.nanoTime() - START) / 1_000_000; }

    static void sleep(long ms) {
        try { Thread.sleep(ms); } catch (InterruptedException e) { throw new IllegalStateException(e); }
    }

    static Thread thread(Runnable r) {
        Thread t = new Thread(null, r, "kit", 256 * 1024);
        t.setDaemon(true);
        t.start();
        return t;
    }

    // ---- record ----
    private static final List<String> lines = Collections.synchronizedList(new ArrayList<>());
    static void note(String text) { lines.add(String.format(Locale.ROOT, "%9d ms  %s", ms(), text)); }
    static void writeRecord(Path file) throws IOException {
        synchronized (lines) { Files.write(file, lines); }
    }

    // ---- HTTP ----
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        String header(String name) { return headers.get(name.toLowerCase(Locale.ROOT)); }
        String path() { String t = first.split(" ")[1]; int q = t.indexOf('?'); return q < 0 ? t : t.substring(0, q); }
        String method() { return first.split(" ")[0]; }
        int status() { return Integer.parseInt(first.split(" ")[1]); }
        String query(String name) {
            String t = first.split(" ")[1];
            int q = t.indexOf('?');
            if (q < 0) return null;
            for (String part : t.substring(q + 1).split("&")) {
                if (part.startsWith(name + "=")) return URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
            return null;
        }
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b; (b = in.read()) >= 0; ) {
            if (b == '\n') { if (line.length() > 0 && line.charAt(line.length() - 1) == '\r') line.setLength(line.length() - 1); return line.toString(); }
            line.append((char) b);
        }
        return null;
    }

    /** Reads a message; null at the end of the stream or where it breaks off. */
    static Message read(InputStream in, boolean isAnswer) throws IOException {
        Message m = new Message();
        m.first = readLine(in);
        if (m.first == null || m.first.isEmpty()) return null;
        for (String line; !(line = Objects.requireNonNullElse(readLine(in), "")).isEmpty(); ) {
            int colon = line.indexOf(':');
            m.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        if ("chunked".equalsIgnoreCase(m.header("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) return null;
                int n = Integer.parseInt(size.trim(), 16);
                if (n == 0) { readLine(in); break; }
                byte[] part = in.readNBytes(n);
                if (part.length < n) return null;
                all.write(part);
                readLine(in);
            }
            m.body = all.toByteArray();
        } else if (m.header("content-length") != null) {
            int n = Integer.parseInt(m.header("content-length"));
            m.body = in.readNBytes(n);
            if (m.body.length < n) return null;
        } else if (isAnswer) {
            m.body = in.readAllBytes();
        }
        return m;
    }

    static byte[] answer(int status, Map<String, String> headers, String body) {
        StringBuilder s = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((k, v) -> s.append(k).append(": ").append(v).append("\r\n"));
        byte[] b = body.getBytes(StandardCharsets.UTF_8);
        s.append("Content-Length: ").append(b.length).append("\r\n\r\n").append(body);
        return s.toString().getBytes(StandardCharsets.UTF_8);
    }

    static void send(Socket socket, byte[] data) throws IOException {
        synchronized (socket) { socket.getOutputStream().write(data); socket.getOutputStream().flush(); }
    }

    interface Handler { /** Answers a request; false closes the connection. */ boolean handle(Message request, Socket socket) throws IOException; }

    static final class Server implements AutoCloseable {
        final ServerSocket socket;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        final int port;
        Server(Handler handler) throws IOException {
            socket = new ServerSocket(0, 512, LOOPBACK);
            port = socket.getLocalPort();
            thread(() -> {
                try {
                    while (true) { Socket s = socket.accept(); thread(() -> serve(s, handler)); }
                } catch (IOException e) { /* closed */ }
            });
        }
        private void serve(Socket s, Handler handler) {
            open.add(s);
            try (s) {
                s.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(s.getInputStream());
                for (Message m; (m = read(in, false)) != null; ) if (!handler.handle(m, s)) return;
            } catch (IOException e) { /* the other end has closed */ } finally { open.remove(s); }
        }
        String address() { return "127.0.0.1:" + port; }
        @Override public void close() throws IOException { socket.close(); for (Socket s : open) s.close(); }
    }

    // ---- JSON, as far as the store needs it ----
    static String quote(String s) { return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"'; }

    /** Returns the raw text of field [name] of the object [json], or null. */
    static String field(String json, String name) {
        int i = skip(json, json.indexOf('{') + 1);
        while (i < json.length() && json.charAt(i) == '"') {
            int end = value(json, i);
            String key = json.substring(i + 1, end - 1);
            i = skip(json, json.indexOf(':', end) + 1);
            int stop = value(json, i);
            if (key.equals(name)) return json.substring(i, stop);
            i = skip(json, stop);
            if (i < json.length() && json.charAt(i) == ',') i = skip(json, i + 1);
        }
        return null;
    }
    private static int skip(String s, int i) { while (i < s.length() && Character.isWhitespace(s.charAt(i))) i++; return i; }
    private static int value(String s, int i) {
        char c = s.charAt(i);
        if (c == '"') { for (i++; s.charAt(i) != '"'; i++) if (s.charAt(i) == '\\') i++; return i + 1; }
        if (c == '{' || c == '[') {
            int depth = 0;
            for (; ; i++) {
                char d = s.charAt(i);
                if (d == '"') { i = value(s, i) - 1; continue; }
                if (d == '{' || d == '[') depth++;
                if ((d == '}' || d == ']') && --depth == 0) return i + 1;
            }
        }
        while (i < s.length() && ",}] \n\r\t".indexOf(s.charAt(i)) < 0) i++;
        return i;
    }
    static String unquote(String raw) { return raw == null ? null : raw.startsWith("\"") ? raw.substring(1, raw.length() - 1) : raw; }

    // ---- the platform's store ----
    static final class Store implements AutoCloseable {
        private static final class Item { String name; long revision; String spec; String created; }
        private static final class Event { long revision; String kind; String json; boolean deleted; }
        private final Map<String, TreeMap<String, Item>> kinds = new HashMap<>();
        private final List<Event> events = new ArrayList<>();
        private long revision = 100;
        final Server server = new Server(this::handle);
        volatile Runnable onWrite = () -> { };
        Store() throws IOException { }

        private String json(Item i) {
            return "{\"Metadata\":{\"Name\":" + quote(i.name) + ",\"Revision\":" + i.revision + ",\"Finalizers\":[]},\"Spec\":" + i.spec + ",\"Status\":{}}";
        }
        private void event(String kind, Item i, boolean deleted) {
            Event e = new Event();
            e.revision = revision; e.kind = kind; e.json = json(i); e.deleted = deleted;
            events.add(e);
            notifyAll();
        }
        /** Writes as the operator or a replica does. */
        synchronized long put(String kind, String name, String spec) {
            Item i = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).computeIfAbsent(name, n -> new Item());
            if (spec.equals(i.spec)) return i.revision;
            i.name = name; i.spec = spec; i.revision = ++revision;
            event(kind, i, false);
            return revision;
        }
        synchronized void remove(String kind, String name) {
            Item i = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
            if (i == null) return;
            revision++;
            event(kind, i, true);
        }
        private boolean handle(Message m, Socket s) throws IOException {
            String[] p = m.path().split("/");
            String kind = p.length > 3 ? p[3] : "";
            String name = p.length > 4 ? URLDecoder.decode(p[4], StandardCharsets.UTF_8) : null;
            byte[] reply;
            if (m.method().equals("GET") && m.query("Watch") != null) reply = watch(kind, Long.parseLong(m.query("Watch")), Long.parseLong(Objects.requireNonNullElse(m.query("WaitMs"), "0")));
            else reply = call(m, kind, name);
            Kit.send(s, reply);
            return true;
        }
        private synchronized byte[] watch(String kind, long after, long waitMs) {
            long end = System.nanoTime() + waitMs * 1_000_000;
            while (true) {
                StringBuilder found = new StringBuilder();
                for (Event e : events) if (e.kind.equals(kind) && e.revision > after) found.append(found.length() > 0 ? "," : "").append("{\"Object\":").append(e.json).append(",\"Deleted\":").append(e.deleted).append("}");
                long left = (end - System.nanoTime()) / 1_000_000;
                if (found.length() > 0 || left <= 0) return ok("{\"events\":[" + found + "],\"At\":" + revision + "}");
                try { wait(left); } catch (InterruptedException e) { throw new IllegalStateException(e); }
            }
        }
        private byte[] ok(String body) { return answer(200, Map.of("Content-Type", "application/json"), body); }
        private synchronized byte[] call(Message m, String kind, String name) {
            TreeMap<String, Item> items = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
            String body = new String(m.body, StandardCharsets.UTF_8);
            if (m.method().equals("GET") && name == null) {
                StringBuilder list = new StringBuilder();
                items.values().forEach(i -> list.append(list.length() > 0 ? "," : "").append(json(i)));
                return ok("{\"items\":[" + list + "],\"HasMore\":false,\"At\":" + revision + "}");
            }
            if (m.method().equals("GET")) return items.containsKey(name) ? ok(json(items.get(name))) : answer(404, Map.of(), "");
            if (m.method().equals("DELETE")) {
                Item i = items.get(name);
                if (i == null) return answer(404, Map.of(), "");
                String want = m.query("Revision");
                if (want != null && Long.parseLong(want) != i.revision) return answer(409, Map.of("Content-Type", "application/json"), json(i));
                items.remove(name);
                revision++;
                event(kind, i, true);
                return ok(json(i));
            }
            String meta = field(body, "Metadata");
            if (name == null) name = unquote(field(meta, "Name"));
            String want = field(meta, "Revision");
            Item i = items.get(name);
            if (m.method().equals("POST") && i != null) return answer(409, Map.of("Content-Type", "application/json"), json(i));
            if (m.method().equals("PUT") && i == null) return answer(404, Map.of(), "");
            if (want != null && i != null && Long.parseLong(want) != i.revision) return answer(409, Map.of("Content-Type", "application/json"), json(i));
            put(kind, name, field(body, "Spec"));
            return answer(m.method().equals("POST") ? 201 : 200, Map.of("Content-Type", "application/json"), json(items.get(name)));
        }
        @Override public void close() throws IOException { server.close(); }
    }

    /** Keeps the entries of replicas in the store alive, as replicas do every HeartbeatMs. */
    static final class Heartbeats {
        private final Map<String, String> entries = new ConcurrentHashMap<>();
        private final AtomicLong sequence = new AtomicLong();
        Heartbeats(Store store) {
            thread(() -> { while (true) { beat(store); sleep(1_200); } });
        }
        private void beat(Store store) { entries.forEach((id, spec) -> store.put("servers", id, spec.replace("SEQ", "" + sequence.incrementAndGet()))); }
        void add(Store store, String id, String service, String address, int slots, String more) {
            long born = System.currentTimeMillis();
            String spec = "{\"Service\":" + quote(service) + ",\"Address\":" + quote(address) + ",\"Zone\":\"z-1\",\"Version\":\"1\",\"Slots\":" + slots
                + ",\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":SEQ,\"born\":" + born + more + "}";
            entries.put(id, spec);
            store.put("servers", id, spec.replace("SEQ", "0"));
        }
        void remove(Store store, String id) { entries.remove(id); store.remove("servers", id); }
    }

    // ---- gateway processes ----
    private static final Set<Integer> taken = new HashSet<>();
    /** Returns a port that is free for TCP and UDP, below those that the system gives to outgoing connections. */
    static synchronized int freePort() throws IOException {
        for (int i = 0; i < 500; i++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            if (!taken.add(port)) continue;
            try (ServerSocket s = new ServerSocket(port, 1, LOOPBACK); DatagramSocket d = new DatagramSocket(port, LOOPBACK)) { return port; } catch (IOException e) { /* taken */ }
        }
        throw new IOException("no free port");
    }

    static final class Gateway {
        final String name;
        final int front, ready, registry, peer, operator;
        final Path settings, log;
        Process process;
        Gateway(String name, Path folder, Store store, Map<String, String> overrides) throws IOException {
            this.name = name;
            front = freePort(); ready = freePort(); registry = freePort(); peer = freePort(); operator = freePort();
            Map<String, String> v = new LinkedHashMap<>();
            v.put("NodeName", name); v.put("Role", "entry"); v.put("MachineClass", "frontend"); v.put("Serves", "frontend,registry");
            v.put("Ip", "127.0.0.1"); v.put("Zone", "z-1"); v.put("Region", "r-1"); v.put("Zones.z-1", "r-1");
            v.put("Listen.Frontend", "127.0.0.1:" + front); v.put("Listen.Readiness", "127.0.0.1:" + ready); v.put("Listen.Registry", "127.0.0.1:" + registry);
            v.put("PortRange", peer + "," + operator); v.put("Bootstrap", "true"); v.put("HeartbeatMs", "1200"); v.put("Discovery", "platform"); v.put("Entry", "registry");
            v.put("Limits.CpuFraction", "0.75"); v.put("Limits.Cores", "1"); v.put("Limits.MemoryMb", "430"); v.put("Limits.MaxFds", "4100"); v.put("Limits.BandwidthMbps", "1000.0"); v.put("Limits.DiskMb", "0");
            String bounds = "SeedLagS=3 ReuseAfterS=2 ContactMs=3000 AckMs=4000 CatchUpS=4 DrainMs=2000 GraceS=8 LossSlackMs=200 ConfigApplyMs=2000 RollbackSlackMs=250 MaxSkewMs=5000 "
                + "StrictRevocation=true RevokeMs=5000 RetryBudgetRatio=0.2 BudgetWindowS=10 RetrySlack=52 QuotaWindowS=8 QuotaOverage=0.1 QuotaSlack=110000 RecoveryS=12 PassMs=120 RetryAfterS=0 "
                + "FencingEnforced=false LeaseMs=3000 ThawMs=300 CeilingWindowS=5 CeilingOverage=1.1 version_ms=5000 ttl_max_s=5";
            for (String b : bounds.split(" ")) v.put("Bounds." + b.split("=")[0], b.split("=")[1]);
            v.put("Platform.Address", store.server.address()); v.put("Platform.form", "objects"); v.put("Platform.WritesPerS", "400"); v.put("Platform.ReadsPerS", "2000");
            v.put("Platform.HistoryS", "20"); v.put("Platform.ValueBytes", "1048576"); v.put("Platform.TtlMinMs", "1000");
            v.putAll(overrides);
            // Also when the driver itself is ended by a signal.
            Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
            settings = folder.resolve(name + ".conf");
            log = folder.resolve(name + ".log");
            List<String> text = new ArrayList<>();
            v.forEach((k, x) -> text.add(k + "=" + x));
            Files.write(settings, text);
        }
        /** Starts the process with the command of its role in the deploy file. */
        void start() throws IOException {
            String run = null;
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) if (line.startsWith("run = ")) run = line.substring(7, line.lastIndexOf('"'));
            ProcessBuilder b = new ProcessBuilder(run.split(" "));
            Map<String, String> env = b.environment();
            env.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            env.put("SKYLARKSTILE_CONFIG", settings.toString());
            b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = b.start();
            note(name + " started, pid " + process.pid());
        }
        void signal(String signal) throws IOException {
            note(name + " gets SIG" + signal);
            try { new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor(); } catch (InterruptedException e) { throw new IllegalStateException(e); }
        }
        boolean isReady() {
            try (Socket s = new Socket(LOOPBACK, ready)) {
                s.setSoTimeout(1_000);
                Kit.send(s, "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
                Message m = read(s.getInputStream(), true);
                return m != null && m.status() == 200;
            } catch (IOException e) { return false; }
        }
        boolean awaitReady(long ms) {
            for (long end = ms() + ms; ms() < end; sleep(50)) if (isReady()) return true;
            return false;
        }
        void kill() {
            if (process == null) return;
            process.destroyForcibly();
            try { process.waitFor(); } catch (InterruptedException e) { throw new IllegalStateException(e); }
        }
    }

    static void deleteFolder(Path folder) {
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) { /* a temporary folder */ }
    }
}
