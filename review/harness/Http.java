import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the head and the body of an HTTP/1.1 message from a blocking stream. */
final class Http {
    /** First line and headers (names in lower case) of a message. */
    static final class Head {
        String line;
        final Map<String, String> headers = new LinkedHashMap<>();

        String get(String name) {
            return headers.get(name.toLowerCase());
        }

        int length() {
            String text = get("content-length");
            return text == null ? 0 : Integer.parseInt(text.trim());
        }

        String method() {
            return line.split(" ")[0];
        }

        String path() {
            return line.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** Returns the next head, or null at the end of the connection. */
    static Head head(InputStream in) throws IOException {
        Head head = new Head();
        String line = line(in);
        if (line == null) return null;
        head.line = line;
        while (true) {
            line = line(in);
            if (line == null) throw new EOFException("in a head");
            if (line.isEmpty()) return head;
            int colon = line.indexOf(':');
            head.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) != '\n') {
            if (b < 0) {
                if (out.size() == 0) return null;
                throw new EOFException("in a line");
            }
            if (b != '\r') out.write(b);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads exactly [length] bytes. */
    static byte[] bytes(InputStream in, int length) throws IOException {
        byte[] data = in.readNBytes(length);
        if (data.length < length) throw new EOFException("in a body: " + data.length + " of " + length + " bytes");
        return data;
    }

    /** Reads the whole body of a response: with a length, in chunks, or up to the end of the connection. */
    static byte[] body(InputStream in, Head head) throws IOException {
        if (head.get("content-length") != null) return bytes(in, head.length());
        if (!"chunked".equalsIgnoreCase(head.get("transfer-encoding"))) return in.readAllBytes();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) throw new EOFException("in a chunk");
            int length = Integer.parseInt(size.trim(), 16);
            if (length > 0) out.write(bytes(in, length));
            String end = line(in);
            if (end == null) throw new EOFException("after a chunk");
            if (length == 0) return out.toByteArray();
        }
    }
}
