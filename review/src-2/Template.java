import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Fills in the settings template of a role as the platform does: values, {@code |json}, sections for
 * values that are present, and inverted sections. Stateless.
 */
final class Template {
    private Template() {}

    static String render(String template, Map<String, Object> fields) {
        StringBuilder out = new StringBuilder();
        int at = 0;
        while (true) {
            int open = template.indexOf("{{", at);
            if (open < 0) {
                return out.append(template.substring(at)).toString();
            }
            out.append(template, at, open);
            int close = template.indexOf("}}", open);
            String tag = template.substring(open + 2, close);
            at = close + 2;
            if (tag.startsWith("#") || tag.startsWith("^")) {
                String name = tag.substring(1);
                String endTag = "{{/" + name + "}}";
                int end = template.indexOf(endTag, at);
                boolean present = isPresent(find(name, fields));
                if (present == tag.startsWith("#")) {
                    out.append(render(template.substring(at, end), fields));
                }
                at = end + endTag.length();
            } else if (tag.endsWith("|json")) {
                out.append(Json.write(find(tag.substring(0, tag.length() - 5), fields)));
            } else {
                Object value = find(tag, fields);
                out.append(value == null ? "" : value);
            }
        }
    }

    private static boolean isPresent(Object value) {
        return value != null && !Boolean.FALSE.equals(value);
    }

    private static Object find(String name, Map<String, Object> fields) {
        Object value = fields;
        for (String part : name.split("\\.")) {
            if (value instanceof Map<?, ?> m) {
                value = m.get(part);
            } else if (value instanceof List<?> l && part.matches("\\d+")) {
                value = Integer.parseInt(part) < l.size() ? l.get(Integer.parseInt(part)) : null;
            } else {
                return null;
            }
        }
        return value;
    }
}
