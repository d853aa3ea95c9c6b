import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store: objects by kind and name, lists, watches and conditional writes, over HTTP/1.1 on loopback. */
final class Store {
    private static final class Event {
        final long revision;
        final String kind;
        final String text;

        Event(long revision, String kind, String text) {
            this.revision = revision;
            this.kind = kind;
            this.text = text;
        }
    }

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final ServerSocket server;
    private long revision = 1;

    Store() throws IOException {
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Case.daemon("store", () -> {
            while (true) {
                Socket socket = server.accept();
                Case.daemon("store-connection", () -> serve(socket));
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    /** Writes an object as the operator or a replica does; returns the revision, at which it is acknowledged. */
    synchronized long put(String kind, String name, Map<String, Object> spec) {
        Map<String, Object> old = table(kind).get(name);
        if (old != null && Json.text(old.get("Spec")).equals(Json.text(spec))) return revision;
        revision++;
        Map<String, Object> object =
            Json.of(
                "Metadata", Json.of("Name", name, "Revision", revision, "Created", revision, "Finalizers", List.of(), "DeletionPending", false),
                "Spec", spec,
                "Status", null);
        table(kind).put(name, object);
        changed(kind, object, false);
        return revision;
    }

    synchronized boolean delete(String kind, String name) {
        Map<String, Object> old = table(kind).remove(name);
        if (old == null) return false;
        revision++;
        changed(kind, old, true);
        return true;
    }

    synchronized int count(String kind) {
        return table(kind).size();
    }

    private void changed(String kind, Map<String, Object> object, boolean isDeleted) {
        events.add(new Event(revision, kind, Json.text(Json.of("Deleted", isDeleted, "Object", object))));
        notifyAll();
    }

    private TreeMap<String, Map<String, Object>> table(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.head(in);
                if (head == null) return;
                String body = new String(Http.bytes(in, head.length()), StandardCharsets.UTF_8);
                Thread.sleep(4);
                String[] answer = answer(head, body);
                byte[] data = answer[1].getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 " + answer[0] + " x\r\nContent-Type: application/json\r\nContent-Length: " + data.length + "\r\n\r\n").getBytes());
                out.write(data);
                out.flush();
            }
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized String[] answer(Http.Head head, String body) throws InterruptedException {
        String[] parts = head.path().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) {
                query.put(pair.split("=")[0], URLDecoder.decode(pair.substring(pair.indexOf('=') + 1), StandardCharsets.UTF_8));
            }
        }
        String[] path = parts[0].split("/");
        String kind = path[3];
        String name = path.length > 4 ? URLDecoder.decode(path[4], StandardCharsets.UTF_8) : null;
        switch (head.method()) {
            case "GET":
                if (name != null) {
                    Map<String, Object> object = table(kind).get(name);
                    return object == null ? new String[] {"404", "{}"} : new String[] {"200", Json.text(object)};
                }
                return query.containsKey("Watch") ? watch(kind, query) : list(kind, query.get("after"));
            case "POST":
            case "PUT":
                Map<String, Object> sent = Json.object(body);
                Map<String, Object> metadata = (Map<String, Object>) sent.get("Metadata");
                String target = name != null ? name : (String) metadata.get("Name");
                Map<String, Object> old = table(kind).get(target);
                if (head.method().equals("POST") && old != null) return new String[] {"409", Json.text(old)};
                if (head.method().equals("PUT") && old == null) return new String[] {"404", "{}"};
                if (old != null && metadata.get("Revision") != null && !metadata.get("Revision").equals(revisionOf(old))) {
                    return new String[] {"409", Json.text(old)};
                }
                put(kind, target, (Map<String, Object>) sent.get("Spec"));
                return new String[] {"200", Json.text(table(kind).get(target))};
            case "DELETE":
                Map<String, Object> present = table(kind).get(name);
                if (present == null) return new String[] {"404", "{}"};
                if (query.containsKey("Revision") && !query.get("Revision").equals(String.valueOf(revisionOf(present)))) {
                    return new String[] {"409", Json.text(present)};
                }
                delete(kind, name);
                return new String[] {"200", "{}"};
            default:
                return new String[] {"405", "{}"};
        }
    }

    @SuppressWarnings("unchecked")
    private static Object revisionOf(Map<String, Object> object) {
        return ((Map<String, Object>) object.get("Metadata")).get("Revision");
    }

    private String[] list(String kind, String after) {
        List<Object> items = new ArrayList<>();
        (after == null ? table(kind) : table(kind).tailMap(after, false)).values().forEach(items::add);
        return new String[] {"200", Json.text(Json.of("items", items, "HasMore", false, "At", revision))};
    }

    private String[] watch(String kind, Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("Watch"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000L;
        while (true) {
            StringBuilder found = new StringBuilder();
            for (Event event : events) {
                if (event.revision > after && event.kind.equals(kind)) found.append(found.length() > 0 ? "," : "").append(event.text);
            }
            long leftMs = (until - System.nanoTime()) / 1_000_000L;
            if (found.length() > 0 || leftMs <= 0) return new String[] {"200", "{\"events\":[" + found + "],\"At\":" + revision + "}"};
            wait(leftMs);
        }
    }
}
