import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * What all cases share: the record, the processes of a small fleet, a requester, a replica and an
 * operator. The stand-ins follow PROTOCOL.md; where it is silent they behave like sound programs.
 */
final class Kit {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    private Kit() {}

    /** Returns whether the case runs with its disruption. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** The file record.txt of a case. Thread-safe. */
    static final class Record implements AutoCloseable {
        private final BufferedWriter mOut;
        private final long mStart = System.nanoTime();

        Record(Path file) throws IOException {
            mOut = Files.newBufferedWriter(file);
        }

        synchronized void line(String format, Object... arguments) {
            try {
                mOut.write(String.format("%8.3f ", (System.nanoTime() - mStart) / 1e9));
                mOut.write(String.format(format, arguments));
                mOut.newLine();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        /** Writes a line to the record and to the standard output. */
        void say(String format, Object... arguments) {
            line(format, arguments);
            System.out.println(String.format(format, arguments));
        }

        @Override
        public synchronized void close() throws IOException {
            mOut.close();
        }
    }

    /**
     * The processes of the system: three core machines and some fronts, each on a loopback address
     * of its own, started with the commands of deploy/system.toml.
     */
    static final class Fleet implements AutoCloseable {
        final Path mFolder;
        final Record mRecord;
        final List<String> mControls = new ArrayList<>();
        final List<String> mFronts = new ArrayList<>();
        final Map<String, Process> mProcesses = new LinkedHashMap<>();
        final Map<String, String> mZones = new LinkedHashMap<>();
        final HttpClient mHttp =
                HttpClient.newBuilder()
                        .followRedirects(HttpClient.Redirect.ALWAYS)
                        .connectTimeout(Duration.ofSeconds(1))
                        .build();
        private final String mSubnet;
        private final int mPeerPort;
        private final int mFrontPort;
        private final int mReadyPort;
        private final int mControlPort;
        private final int mMetricsPort;
        private final Path mRoot = Path.of("").toAbsolutePath();
        private boolean mClosed;

        Fleet(Record record, int controls, int fronts) throws IOException {
            mRecord = record;
            mFolder = Files.createTempDirectory("review");
            mSubnet =
                    "127."
                            + ThreadLocalRandom.current().nextInt(20, 250)
                            + "."
                            + ThreadLocalRandom.current().nextInt(1, 250)
                            + ".";
            int[] ports = freePorts(5);
            mPeerPort = ports[0];
            mFrontPort = ports[1];
            mReadyPort = ports[2];
            mControlPort = ports[3];
            mMetricsPort = ports[4];
            String[] zones = {"quetzaltenango", "totonicapan", "solola"};
            for (int i = 0; i < controls; i++) {
                mControls.add(mSubnet + (1 + i));
                mZones.put(mSubnet + (1 + i), zones[i % zones.length]);
            }
            for (int i = 0; i < fronts; i++) {
                mFronts.add(mSubnet + (101 + i));
                mZones.put(mSubnet + (101 + i), zones[i % zones.length]);
            }
        }

        private static int[] freePorts(int count) throws IOException {
            List<ServerSocket> open = new ArrayList<>();
            int[] ports = new int[count];
            for (int i = 0; i < count; i++) {
                ServerSocket s = new ServerSocket(0);
                open.add(s);
                ports[i] = s.getLocalPort();
            }
            for (ServerSocket s : open) {
                s.close();
            }
            return ports;
        }

        /** Starts all machines and waits until the processes accept calls. */
        void start() throws Exception {
            Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
            for (String ip : mControls) {
                start(ip, true);
            }
            for (String ip : mFronts) {
                start(ip, true);
            }
        }

        /** Starts the process of a machine, unless the case is over. */
        synchronized void start(String ip, boolean bootstrap) throws IOException {
            if (mClosed) {
                return;
            }
            boolean front = mFronts.contains(ip);
            Path file = mFolder.resolve("node-" + ip + ".json");
            Files.writeString(file, settings(ip, front, bootstrap));
            List<String> command = new ArrayList<>(runCommand(front ? "gateway" : "control"));
            command.set(command.size() - 1, file.toString());
            ProcessBuilder builder =
                    new ProcessBuilder(command)
                            .directory(mRoot.toFile())
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    ProcessBuilder.Redirect.appendTo(
                                            mFolder.resolve("log-" + ip).toFile()));
            builder.environment().keySet().removeIf(k -> !KEPT_VARIABLES.contains(k));
            Process p = builder.start();
            mProcesses.put(ip, p);
            mRecord.line("start %s %s pid=%d", front ? "gateway" : "control", ip, p.pid());
        }

        private static final List<String> KEPT_VARIABLES =
                List.of("PATH", "HOME", "JAVA_HOME", "LANG");

        private List<String> runCommand(String role) throws IOException {
            boolean inRole = false;
            for (String line : Files.readAllLines(mRoot.resolve("deploy/system.toml"))) {
                if (line.startsWith("[")) {
                    inRole = line.equals("[roles." + role + "]");
                } else if (inRole && line.startsWith("run = \"")) {
                    return Arrays.asList(line.substring(7, line.length() - 1).split(" "));
                }
            }
            throw new IOException("no command of role " + role);
        }

        /** The file that platform/node.json gives for the settings of a small deployment. */
        private String settings(String ip, boolean front, boolean bootstrap) {
            StringBuilder seeds = new StringBuilder();
            for (String c : mControls.subList(0, Math.min(3, mControls.size()))) {
                seeds.append(seeds.length() == 0 ? "" : ",")
                        .append("\"" + c + ":" + mControlPort + "\"");
            }
            return "{\"vmId\":\""
                    + ip
                    + "\",\"failureDomain\":\""
                    + mZones.get(ip)
                    + "\",\"region\":\"occidente\",\"peerPort\":"
                    + mPeerPort
                    + ",\"seeds\":["
                    + seeds
                    + "],\"mayFound\":"
                    + bootstrap
                    + (front ? "" : ",\"dataFolder\":\"" + mFolder.resolve("data-" + ip) + "\"")
                    + ",\"regions\":{\"quetzaltenango\":\"occidente\",\"totonicapan\":\"occidente\","
                    + "\"solola\":\"occidente\"},\"listen\":{\"http\":\""
                    + ip
                    + ":"
                    + (front ? mFrontPort : mControlPort)
                    + "\","
                    + (front ? "\"ready\":\"" + ip + ":" + mReadyPort + "\"," : "")
                    + "\"metrics\":\""
                    + ip
                    + ":"
                    + mMetricsPort
                    + "\"},\"bounds\":{\"announceMillis\":1200,\"stopGraceMillis\":8000,"
                    + "\"retryRatio\":0.2,\"retryWindowMillis\":10000,\"retrySlack\":52}}";
        }

        /** Starts a process again that ended by itself, as the platform does, and counts its ends. */
        void watch(AtomicInteger ends) {
            daemon(
                    () -> {
                        while (!isClosed()) {
                            pause(500);
                            for (String ip : mZones.keySet()) {
                                restartIfEnded(ip, ends);
                            }
                        }
                    });
        }

        private synchronized boolean isClosed() {
            return mClosed;
        }

        private synchronized void restartIfEnded(String ip, AtomicInteger ends) {
            Process p = mProcesses.get(ip);
            if (mClosed || p == null || p.isAlive()) {
                return;
            }
            ends.incrementAndGet();
            mRecord.say("process %s ended, exit=%d", ip, p.exitValue());
            try {
                start(ip, false);
            } catch (IOException e) {
                mRecord.say("cannot start %s again: %s", ip, e);
            }
        }

        InetSocketAddress front(int i) {
            return new InetSocketAddress(mFronts.get(i), mFrontPort);
        }

        String control(int i) {
            return "http://" + mControls.get(i) + ":" + mControlPort;
        }

        boolean isReady(int front) {
            try {
                HttpRequest r =
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://"
                                                        + mFronts.get(front)
                                                        + ":"
                                                        + mReadyPort
                                                        + "/ready"))
                                .timeout(Duration.ofSeconds(1))
                                .build();
                return mHttp.send(r, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
            } catch (IOException | InterruptedException e) {
                return false;
            }
        }

        /** Sends an order once to a control machine; returns the status, 0 without an answer. */
        int order(int control, String method, String path, String body, long timeoutMillis) {
            try {
                HttpRequest r =
                        HttpRequest.newBuilder(URI.create(control(control) + path))
                                .timeout(Duration.ofMillis(timeoutMillis))
                                .header("Content-Type", "application/json")
                                .method(method, HttpRequest.BodyPublishers.ofString(body))
                                .build();
                return mHttp.send(r, HttpResponse.BodyHandlers.ofString()).statusCode();
            } catch (IOException | InterruptedException e) {
                return 0;
            }
        }

        /** Sends an order until it is acknowledged or refused, to each control machine in turn. */
        int orderUntilClear(String method, String path, String body, long limitMillis)
                throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
            long pause = 100;
            for (int i = 0; ; i++) {
                int status = order(i % mControls.size(), method, path, body, 2_000);
                mRecord.line(
                        "order %s %s to %s: %d",
                        method, path, mControls.get(i % mControls.size()), status);
                if (status == 200 || (status >= 400 && status < 500 && status != 408)) {
                    return status;
                }
                if (System.nanoTime() > end) {
                    return status;
                }
                Thread.sleep(pause);
                pause = Math.min(1_000, 2 * pause);
            }
        }

        String read(String path) {
            for (int i = 0; i < mControls.size(); i++) {
                try {
                    HttpRequest r =
                            HttpRequest.newBuilder(URI.create(control(i) + path))
                                    .timeout(Duration.ofSeconds(2))
                                    .build();
                    HttpResponse<String> a = mHttp.send(r, HttpResponse.BodyHandlers.ofString());
                    if (a.statusCode() == 200) {
                        return a.body();
                    }
                } catch (IOException | InterruptedException e) {
                    // The next one is asked.
                }
            }
            return "";
        }

        /** Copies the last lines of the log of a machine into the record. */
        void recordLog(String ip, String pattern, int most) throws IOException {
            List<String> lines = new ArrayList<>();
            for (String l :
                    Files.readAllLines(
                            mFolder.resolve("log-" + ip), StandardCharsets.ISO_8859_1)) {
                if (l.matches(".*(" + pattern + ").*")) {
                    lines.add(l);
                }
            }
            mRecord.line("log %s: %d lines with %s", ip, lines.size(), pattern);
            for (String l : lines.subList(0, Math.min(most, lines.size()))) {
                mRecord.line("log %s: %s", ip, l.substring(0, Math.min(400, l.length())));
            }
        }

        private synchronized void killAll() {
            mClosed = true;
            mProcesses.values().forEach(Process::destroyForcibly);
        }

        @Override
        public void close() throws IOException {
            killAll();
            mProcesses.values().forEach(p -> p.onExit().join());
            if (System.getenv("KEEP") == null) {
                try (Stream<Path> all = Files.walk(mFolder)) {
                    for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                        Files.delete(p);
                    }
                }
            }
        }
    }

    static void await(String what, long limitMillis, java.util.function.BooleanSupplier condition)
            throws InterruptedException, CouldNotRun {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new CouldNotRun("timed out waiting for " + what);
            }
            Thread.sleep(50);
        }
    }

    /** The case could not be set up. */
    static final class CouldNotRun extends Exception {
        private static final long serialVersionUID = 1;

        CouldNotRun(String message) {
            super(message);
        }
    }

    /** The body of a case. */
    interface Body {
        int run(Record record) throws Exception;
    }

    /** Runs a case, prints the outcome and exits. */
    static void run(String[] args, Body body) {
        int outcome = COULD_NOT_RUN;
        try (Record record = new Record(Path.of(args[0]))) {
            record.say("TROUBLE=%s", trouble() ? "1" : "0");
            try {
                outcome = body.run(record);
            } catch (Exception e) {
                record.say("could not run: %s", e);
                e.printStackTrace();
            }
            record.say(
                    "outcome: %s",
                    outcome == BROKEN ? "broken" : outcome == HELD ? "held" : "could not run");
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(outcome);
    }

    // --- Messages -------------------------------------------------------------------------------

    /** One HTTP message: its first line, headers and body. */
    static final class Message {
        String mFirst = "";
        final Map<String, String> mHeaders = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] mBody = {};

        int status() {
            return Integer.parseInt(mFirst.split(" ")[1]);
        }
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

    /** Reads a message; returns null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message m = new Message();
        m.mFirst = readLine(in);
        if (m.mFirst == null) {
            return null;
        }
        for (String l = readLine(in); ; l = readLine(in)) {
            if (l == null) {
                throw new IOException("cut in the head");
            }
            if (l.isEmpty()) {
                break;
            }
            int colon = l.indexOf(':');
            m.mHeaders.put(l.substring(0, colon), l.substring(colon + 1).trim());
        }
        if ("chunked".equalsIgnoreCase(m.mHeaders.get("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new IOException("cut in a chunk");
                }
                int n = Integer.parseInt(size.trim(), 16);
                byte[] chunk = in.readNBytes(n);
                if (chunk.length < n || readLine(in) == null) {
                    throw new IOException("cut in a chunk");
                }
                if (n == 0) {
                    break;
                }
                body.write(chunk);
            }
            m.mBody = body.toByteArray();
        } else {
            int length = Integer.parseInt(m.mHeaders.getOrDefault("Content-Length", "0"));
            m.mBody = in.readNBytes(length);
            if (m.mBody.length < length) {
                throw new IOException("cut in the body");
            }
        }
        return m;
    }

    // --- Requester ------------------------------------------------------------------------------

    /** What a requester saw of one request. */
    enum Seen {
        ANSWER,
        CLOSED,
        NOTHING
    }

    /** The outcome of one request. */
    record Result(Seen seen, int status, long millis, Message answer) {
        /** Returns how long the requester waits before its next request. */
        long retryMillis() {
            String value = answer == null ? null : answer.mHeaders.get("Retry-After");
            return value != null
                    ? (long) (1_000 * Double.parseDouble(value))
                    : seen == Seen.ANSWER && status < 400 ? 2 : 200;
        }
    }

    /** A requester with one kept connection. Used by one thread. */
    static final class Requester {
        private final InetSocketAddress mAddress;
        private Socket mSocket;
        private InputStream mIn;

        Requester(InetSocketAddress address) {
            mAddress = address;
        }

        /** Sends a request and waits for its whole answer. */
        Result send(
                String method,
                String host,
                String path,
                String id,
                Map<String, String> headers,
                byte[] body,
                long waitMillis) {
            long start = System.nanoTime();
            try {
                if (mSocket == null) {
                    mSocket = new Socket();
                    mSocket.setTcpNoDelay(true);
                    mSocket.connect(mAddress, 1_000);
                    mIn = new BufferedInputStream(mSocket.getInputStream());
                }
                StringBuilder head = new StringBuilder();
                head.append(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
                head.append("Request-Id: " + id + "\r\n");
                headers.forEach((k, v) -> head.append(k + ": " + v + "\r\n"));
                if (body.length > 0 || method.equals("POST")) {
                    head.append("Content-Length: " + body.length + "\r\n");
                }
                head.append("\r\n");
                OutputStream out = mSocket.getOutputStream();
                byte[] first = head.toString().getBytes(StandardCharsets.ISO_8859_1);
                byte[] all = Arrays.copyOf(first, first.length + body.length);
                System.arraycopy(body, 0, all, first.length, body.length);
                out.write(all);
                out.flush();
                mSocket.setSoTimeout((int) waitMillis);
                Message answer = Kit.read(mIn);
                long millis = (System.nanoTime() - start) / 1_000_000;
                if (answer == null) {
                    close();
                    return new Result(Seen.CLOSED, 0, millis, null);
                }
                if ("close".equalsIgnoreCase(answer.mHeaders.get("Connection"))) {
                    close();
                }
                return new Result(Seen.ANSWER, answer.status(), millis, answer);
            } catch (SocketTimeoutException e) {
                close();
                return new Result(Seen.NOTHING, 0, (System.nanoTime() - start) / 1_000_000, null);
            } catch (IOException e) {
                close();
                return new Result(Seen.CLOSED, 0, (System.nanoTime() - start) / 1_000_000, null);
            }
        }

        void close() {
            try {
                if (mSocket != null) {
                    mSocket.close();
                }
            } catch (IOException e) {
                // It is given up anyway.
            }
            mSocket = null;
        }
    }

    // --- Replica --------------------------------------------------------------------------------

    /** A replica of a plain service. Thread-safe. */
    static final class Replica implements AutoCloseable {
        final String mId;
        final String mService;
        final String mVersion;
        final String mZone;
        final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();
        volatile long mWorkMillis = 60;
        volatile int mAnswerBytes;
        volatile String mState = "ready";
        private final int mSlots;
        private static final int QUEUE = 24;
        private final Semaphore mFree;
        private final AtomicInteger mWaiting = new AtomicInteger();
        private final ServerSocket mServer;
        private final Fleet mFleet;
        private final AtomicLong mSequence = new AtomicLong();
        private final long mBorn = System.currentTimeMillis();
        private volatile boolean mStopped;

        Replica(Fleet fleet, String id, String service, String version, String zone, int slots)
                throws IOException {
            mFleet = fleet;
            mId = id;
            mService = service;
            mVersion = version;
            mZone = zone;
            mSlots = slots;
            mFree = new Semaphore(slots);
            mServer = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            daemon(this::accept);
            daemon(this::beat);
        }

        private void beat() {
            int control = 0;
            while (!mStopped) {
                String body =
                        "{\"service\":\""
                                + mService
                                + "\",\"addr\":\"127.0.0.1:"
                                + mServer.getLocalPort()
                                + "\",\"zone\":\""
                                + mZone
                                + "\",\"version\":\""
                                + mVersion
                                + "\",\"slots\":"
                                + mSlots
                                + ",\"state\":\""
                                + mState
                                + "\",\"coldLeftMs\":0,\"seq\":"
                                + mSequence.incrementAndGet()
                                + ",\"born\":"
                                + mBorn
                                + "}";
                for (int i = 0; i < mFleet.mControls.size(); i++) {
                    int at = (control + i) % mFleet.mControls.size();
                    if (mFleet.order(at, "POST", "/Replicas.Heartbeat/" + mId, body, 1_000)
                            == 200) {
                        control = at;
                        break;
                    }
                }
                pause(1_200);
            }
        }

        private void accept() {
            while (!mStopped) {
                try {
                    Socket s = mServer.accept();
                    daemon(() -> serve(s));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message m = Kit.read(in); m != null; m = Kit.read(in)) {
                    answer(m, socket.getOutputStream());
                }
            } catch (IOException e) {
                // The caller has closed the connection.
            }
        }

        private void answer(Message m, OutputStream out) throws IOException {
            String id = m.mHeaders.getOrDefault("Request-Id", "");
            if (!mId.equals(m.mHeaders.get("Expect-Replica"))) {
                write(out, "421 Misdirected Request", id, "Not-Executed: 1\r\n", new byte[0]);
                return;
            }
            // It runs as many requests as it has slots and queues a few more.
            if (mWaiting.incrementAndGet() > mSlots + QUEUE) {
                mWaiting.decrementAndGet();
                write(out, "503 Service Unavailable", id, "Not-Executed: 1\r\n", new byte[0]);
                return;
            }
            mFree.acquireUninterruptibly();
            try {
                mRuns.computeIfAbsent(id, k -> new AtomicInteger()).incrementAndGet();
                mFleet.mRecord.line(
                        "run %s at %s version=%s body=%d", id, mId, mVersion, m.mBody.length);
                pause(mWorkMillis);
                byte[] text = ("done " + id + " by " + mId + "\n").getBytes(StandardCharsets.UTF_8);
                byte[] body = Arrays.copyOf(text, Math.max(text.length, mAnswerBytes));
                write(out, "200 OK", id, "Response-Seal: " + mId + "." + id + "\r\n", body);
            } finally {
                mFree.release();
                mWaiting.decrementAndGet();
            }
        }

        private static void write(
                OutputStream out, String status, String id, String headers, byte[] body)
                throws IOException {
            byte[] head =
                    ("HTTP/1.1 "
                                    + status
                                    + "\r\nRequest-Id: "
                                    + id
                                    + "\r\n"
                                    + headers
                                    + "Content-Length: "
                                    + body.length
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = Arrays.copyOf(head, head.length + body.length);
            System.arraycopy(body, 0, all, head.length, body.length);
            out.write(all);
            out.flush();
        }

        int runs() {
            return mRuns.values().stream().mapToInt(AtomicInteger::get).sum();
        }

        @Override
        public void close() throws IOException {
            mStopped = true;
            mServer.close();
        }
    }

    static void daemon(Runnable task) {
        Thread t = new Thread(task);
        t.setDaemon(true);
        t.start();
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // --- Desired state --------------------------------------------------------------------------

    /** Returns a route as JSON. */
    static String route(String name, String prefix, String kind, String service, int attempts) {
        return "{\"name\":\""
                + name
                + "\",\"host\":\"shop.example\",\"prefix\":\""
                + prefix
                + "\",\"kind\":\""
                + kind
                + "\",\"timeoutMs\":3000,\"sloMs\":386,\"priority\":1,\"service\":\""
                + service
                + "\",\"attempts\":"
                + attempts
                + ",\"anonymous\":false,\"sticky\":false}";
    }

    /** Returns a desired state as JSON. */
    static String config(long version, List<String> routes, String service, String tenants) {
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + String.join(",", routes)
                + "],\"services\":[{\"name\":\""
                + service
                + "\",\"healthPath\":\"/health\",\"maxConns\":100,\"proto\":\"h1\",\"tls\":false,"
                + "\"coldStartS\":0.0,\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,"
                + "\"tokensPerS\":203000},\"tenants\":["
                + tenants
                + "]}";
    }

    static String tenant(String name, String key) {
        return "{\"name\":\"" + name + "\",\"apiKeys\":[\"" + key + "\"],\"priority\":1}";
    }
}
