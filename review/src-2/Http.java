import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 as callers, servers and operators speak it. Stateless. */
final class Http {
    private Http() {}

    /** An answer, or a request if {@code status} is 0. */
    record Message(
            String firstLine, int status, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** Sends a request on a new connection and returns the whole answer. */
    static Message call(
            String address,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            int timeoutMillis)
            throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    1_000);
            socket.setSoTimeout(timeoutMillis);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) {
                head.append("Host: ").append(address).append("\r\n");
            }
            headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            OutputStream out = socket.getOutputStream();
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    /** Reads a request or an answer; returns null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String l = readLine(in); l != null && !l.isEmpty(); l = readLine(in)) {
            int colon = l.indexOf(':');
            headers.put(l.substring(0, colon), l.substring(colon + 1).trim());
        }
        boolean answer = first.startsWith("HTTP/");
        int status = answer ? Integer.parseInt(first.split(" ")[1]) : 0;
        return new Message(first, status, headers, readBody(in, headers, answer));
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers, boolean answer)
            throws IOException {
        if (headers.getOrDefault("Transfer-Encoding", "").toLowerCase(Locale.ROOT).equals("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("the body is cut");
                }
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                body.write(readFully(in, length));
                readLine(in);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        if (headers.containsKey("Content-Length")) {
            return readFully(in, Integer.parseInt(headers.get("Content-Length")));
        }
        return answer ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body is cut");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
