import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * In each round, one machine is partitioned from the store for some seconds. Meanwhile one replica leaves without reporting that it drains: its
 * entry is removed, and it serves on for some seconds. ContactMs after the partition has healed, the machine is in touch again, and no request
 * may reach that replica any more.
 */
public final class GoneReplica {
    static final int GATEWAYS = 6, REPLICAS = 10, ROUNDS = 5;
    static final long CUT_MS = 6_900, LEAVES_BEFORE_END_MS = 1_500, LINGER_MS = 8_000, CONTACT_MS = 3_000, DRAIN_MS = 2_000;
    /** For the way from the client to the replica, so that the machine was in touch when it took the request. */
    static final long MARGIN_MS = 100;
    /** Times by the number of the replica that leaves. */
    static final Map<String, Long> removedAt = new ConcurrentHashMap<>(), healedAt = new ConcurrentHashMap<>();
    static final List<String> late = new CopyOnWriteArrayList<>();
    static final AtomicInteger runs = new AtomicInteger();

    /** The path of one machine to the store. What is sent while it is cut is lost, and so is what follows on the same connection. */
    static final class StorePath {
        volatile boolean isCut;
        final ServerSocket socket = new ServerSocket(0, 256, Kit.LOOPBACK);
        final int storePort;
        StorePath(int storePort) throws IOException {
            this.storePort = storePort;
            Kit.thread(() -> {
                try { while (true) { Socket s = socket.accept(); Kit.thread(() -> serve(s)); } } catch (IOException e) { /* closed */ }
            });
        }
        void serve(Socket caller) {
            AtomicBoolean isLost = new AtomicBoolean();
            try (caller; Socket store = new Socket(Kit.LOOPBACK, storePort)) {
                caller.setTcpNoDelay(true);
                store.setTcpNoDelay(true);
                Thread back = Kit.thread(() -> copy(store, caller, isLost));
                copy(caller, store, isLost);
                store.shutdownOutput();
                back.join();
            } catch (IOException | InterruptedException e) { /* closed */ }
        }
        void copy(Socket from, Socket to, AtomicBoolean isLost) {
            byte[] buffer = new byte[65_536];
            try {
                for (int n; (n = from.getInputStream().read(buffer)) > 0; ) {
                    if (isCut) isLost.set(true);
                    if (!isLost.get()) { to.getOutputStream().write(buffer, 0, n); to.getOutputStream().flush(); }
                }
            } catch (IOException e) { /* closed */ }
        }
    }

    static final class Replica implements Kit.Handler {
        final String id;
        Replica(String id) { this.id = id; }
        @Override public boolean handle(Kit.Message m, Socket s) throws IOException {
            if (m.path().equals("/healthz")) { Kit.send(s, Kit.answer(removedAt.containsKey(id) ? 503 : 200, Map.of("X-Replica-Id", id), "")); return true; }
            String attempt = m.header("X-Attempt-Id");
            if (!id.equals(m.header("X-Expected-Replica"))) { Kit.send(s, Kit.answer(421, Map.of("X-Attempt-Id", attempt, "X-Not-Executed", "1"), "")); return true; }
            long now = Kit.ms();
            runs.incrementAndGet();
            Long removed = removedAt.get(id), healed = healedAt.get(id);
            if (removed != null) {
                boolean isLate = healed != null && now > removed + DRAIN_MS && now > healed + CONTACT_MS + MARGIN_MS;
                if (isLate) late.add(attempt);
                Kit.note(id + " runs " + attempt + ", sent by frontend-" + Integer.parseInt(attempt.substring(0, 2), 16) + ", " + (now - removed) + " ms after the removal of its entry"
                    + (healed != null ? ", " + (now - healed) + " ms after the partition has healed" : "") + (isLate ? ": LATE" : ""));
            }
            Kit.sleep(21);
            Kit.send(s, Kit.answer(200, Map.of("X-Attempt-Id", attempt, "X-Server-Signature", "sig." + id + "." + attempt, "X-Replica-Id", id, "Keep-Alive", "timeout=30"), "done " + attempt));
            return true;
        }
    }

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("gone-replica");
        int exit = 2;
        List<Kit.Gateway> gateways = new ArrayList<>();
        try (Kit.Store store = new Kit.Store()) {
            Kit.Heartbeats beats = new Kit.Heartbeats(store);
            List<Kit.Server> replicas = new ArrayList<>();
            for (int i = 1; i <= REPLICAS; i++) {
                Kit.Server server = new Kit.Server(new Replica("i-" + i));
                replicas.add(server);
                beats.add(store, "i-" + i, "desk", server.address(), 6, ",\"Models\":[]");
            }
            store.put("config", "main", "{\"Version\":1,\"Routes\":[{\"Name\":\"register\",\"Host\":\"h.example\",\"PathPrefix\":\"/register/\",\"Type\":\"unsafe\",\"TimeoutMs\":1500,\"TargetLatencyMs\":121,"
                + "\"Priority\":0,\"Service\":\"desk\",\"MaxAttempts\":1,\"Public\":true}],\"Services\":[{\"Name\":\"desk\",\"MaxConnections\":96,\"HealthPath\":\"/healthz\"}],"
                + "\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"key-1\"]}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}");
            List<StorePath> paths = new ArrayList<>();
            for (int i = 1; i <= GATEWAYS; i++) {
                StorePath path = new StorePath(store.server.port);
                paths.add(path);
                Kit.Gateway g = new Kit.Gateway("frontend-" + i, folder, store, Map.of("Platform.Address", "127.0.0.1:" + path.socket.getLocalPort()));
                gateways.add(g);
                g.start();
            }
            for (Kit.Gateway g : gateways) if (!g.awaitReady(30_000)) { Kit.note("not ready"); return; }
            Kit.sleep(5_000);
            AtomicBoolean stop = new AtomicBoolean();
            AtomicInteger number = new AtomicInteger();
            Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
            for (int i = 0; i < GATEWAYS; i++) {
                int gateway = i + 1;
                for (int c = 0; c < 6; c++) Kit.thread(() -> client(gateway, gateways.get(gateway - 1).front, stop, number, outcomes));
            }
            Kit.sleep(2_000);
            for (int round = 1; round <= ROUNDS; round++) {
                StorePath path = paths.get(round - 1);
                String id = "i-" + round;
                Kit.sleep(new Random().nextInt(2_500));
                Kit.note("frontend-" + round + " is partitioned from the store from here: " + Kit.TROUBLE);
                path.isCut = Kit.TROUBLE;
                Kit.sleep(CUT_MS - LEAVES_BEFORE_END_MS);
                beats.remove(store, id);
                removedAt.put(id, Kit.ms());
                Kit.note("the entry of " + id + " is removed");
                Kit.sleep(LEAVES_BEFORE_END_MS);
                path.isCut = false;
                healedAt.put(id, Kit.ms());
                Kit.note("the partition of frontend-" + round + " has healed");
                Kit.sleep(LINGER_MS - LEAVES_BEFORE_END_MS);
                replicas.get(round - 1).close();
                Kit.note(id + " has ended");
            }
            stop.set(true);
            Kit.sleep(500);
            Kit.note("requests " + number.get() + ", run " + runs.get() + ", outcomes " + outcomes + ", reached i-1 late " + late.size());
            System.out.println("requests " + number.get() + ", run " + runs.get() + ", reached the gone replica late: " + late.size());
            exit = runs.get() < 300 ? 2 : late.isEmpty() ? 0 : 1;
        } finally {
            for (Kit.Gateway g : gateways) g.kill();
            Kit.writeRecord(Path.of(args[0]));
            Kit.deleteFolder(folder);
            System.exit(exit);
        }
    }

    static void client(int gateway, int port, AtomicBoolean stop, AtomicInteger number, Map<String, AtomicInteger> outcomes) {
        while (!stop.get()) {
            try (Socket s = new Socket(Kit.LOOPBACK, port)) {
                s.setTcpNoDelay(true);
                s.setSoTimeout(3_000);
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (!stop.get()) {
                    String id = String.format("%02x%06x", gateway, number.incrementAndGet());
                    Kit.send(s, ("POST /register/plate HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 5\r\n\r\nplate").getBytes(StandardCharsets.US_ASCII));
                    Kit.Message m = Kit.read(in, true);
                    outcomes.computeIfAbsent(m == null ? "closed" : "" + m.status(), x -> new AtomicInteger()).incrementAndGet();
                    if (m == null || "close".equalsIgnoreCase(m.header("connection"))) break;
                    Kit.sleep(ThreadLocalRandom.current().nextInt(40, 120));
                }
            } catch (IOException e) { outcomes.computeIfAbsent("error", x -> new AtomicInteger()).incrementAndGet(); Kit.sleep(100); }
        }
    }
}
