import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Writes JSON, and finds single fields in the small answers that the cases read. Stateless. */
final class Json {
    private Json() {}

    static String write(Object value) {
        if (value instanceof Map<?, ?> m) {
            return m.entrySet().stream()
                    .map(e -> write(e.getKey()) + ":" + write(e.getValue()))
                    .collect(Collectors.joining(",", "{", "}"));
        }
        if (value instanceof List<?> l) {
            return l.stream().map(Json::write).collect(Collectors.joining(",", "[", "]"));
        }
        if (value instanceof String s) {
            return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
        }
        return String.valueOf(value);
    }

    /** Returns the text of a field of a flat answer, or an empty text. */
    static String text(String json, String field) {
        int at = json.indexOf('"' + field + "\":\"");
        if (at < 0) {
            return "";
        }
        int from = at + field.length() + 4;
        return json.substring(from, json.indexOf('"', from));
    }

    /** Returns the number of a field, or -1. */
    static long number(String json, String field) {
        int at = json.indexOf('"' + field + "\":");
        if (at < 0) {
            return -1;
        }
        int from = at + field.length() + 3;
        int to = from;
        while (to < json.length() && Character.isDigit(json.charAt(to))) {
            to++;
        }
        return to == from ? -1 : Long.parseLong(json.substring(from, to));
    }
}
