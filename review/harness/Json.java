import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, whole numbers are Long, others Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Creates an object from alternating names and values. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    private void blank() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private Object value() {
        blank();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            blank();
            while (text.charAt(at) != '}') {
                blank();
                String name = string();
                blank();
                at++;
                map.put(name, value());
                blank();
                if (text.charAt(at) == ',') at++;
                blank();
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            blank();
            while (text.charAt(at) != ']') {
                list.add(value());
                blank();
                if (text.charAt(at) == ',') at++;
                blank();
            }
            at++;
            return list;
        }
        if (c == '"') return string();
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(from, at);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n': out.append('\n'); break;
                case 'r': out.append('\r'); break;
                case 't': out.append('\t'); break;
                case 'b': out.append('\b'); break;
                case 'f': out.append('\f'); break;
                case 'u': out.append((char) Integer.parseInt(text.substring(at, at += 4), 16)); break;
                default: out.append(e);
            }
        }
        at++;
        return out.toString();
    }

    static String text(Object value) {
        if (value instanceof Map) {
            StringBuilder out = new StringBuilder("{");
            ((Map<?, ?>) value).forEach((k, v) -> out.append(out.length() > 1 ? "," : "").append(text(k)).append(':').append(text(v)));
            return out.append('}').toString();
        }
        if (value instanceof List) {
            StringBuilder out = new StringBuilder("[");
            ((List<?>) value).forEach(v -> out.append(out.length() > 1 ? "," : "").append(text(v)));
            return out.append(']').toString();
        }
        if (value instanceof String) {
            StringBuilder out = new StringBuilder("\"");
            for (char c : ((String) value).toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < 32) out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            return out.append('"').toString();
        }
        return String.valueOf(value);
    }
}
