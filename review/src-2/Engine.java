import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

/**
 * A stand-in engine that answers with a stream of events. A prompt with a certain part crashes it as
 * soon as it has begun to write the answer; it is back after some seconds, in a new lifetime.
 *
 * <p>Thread-safe.
 */
final class Engine implements AutoCloseable {
    /** How much of the answer is out when the engine crashes. */
    enum Crash {
        AFTER_HEAD,
        AFTER_FIRST_EVENT
    }

    private static final int EVENTS = 10;
    private static final int EVENT_MILLIS = 20;
    private static final int FIRST_EVENT_MILLIS = 40;
    private static final int BACK_AFTER_MILLIS = 2_000;
    private static final int SLOTS = 64;

    final List<Arrival> mCrashing = new CopyOnWriteArrayList<>();
    final List<Long> mCrashNanos = new CopyOnWriteArrayList<>();
    private final String mName;
    private final String mZone;
    private final String mIp;
    private final String mCrashingPart;
    private final Crash mCrash;
    private final Supplier<List<String>> mControl;
    private final Record mRecord;
    private final Random mRandom = new Random();
    private final int mPort;
    private volatile Life mLife;
    private volatile boolean mClosed;
    private int mLives;

    /** A request with the part that crashes engines. */
    record Arrival(String request, long nanos) {}

    /** One lifetime of the process. */
    private final class Life {
        final String mId;
        final long mBorn = System.currentTimeMillis();
        final ServerSocket mServer = new ServerSocket();
        final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
        volatile boolean mEnded;
        int mSequence;

        Life(String id, int port) throws IOException {
            mId = id;
            mServer.setReuseAddress(true);
            mServer.bind(new InetSocketAddress(InetAddress.getByName(mIp), port), 200);
            daemon(this::accept, "accept " + id);
            daemon(this::beat, "beat " + id);
        }

        /** Closes all sockets, as the operating system does for a process that has crashed. */
        synchronized boolean end() {
            if (mEnded) {
                return false;
            }
            mEnded = true;
            try {
                mServer.close();
                for (Socket s : mOpen) {
                    s.close();
                }
            } catch (IOException e) {
                mRecord.line("engine %s: %s", mId, e);
            }
            return true;
        }

        private void accept() {
            while (!mEnded) {
                try {
                    Socket socket = mServer.accept();
                    daemon(() -> serve(socket), "connection");
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            mOpen.add(socket);
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Http.Message r = Http.read(in); r != null && !mEnded; r = Http.read(in)) {
                    answer(r, out);
                }
            } catch (IOException | InterruptedException e) {
                // The gateway has closed the connection, or this life has ended.
            } finally {
                mOpen.remove(socket);
            }
        }

        private void answer(Http.Message r, OutputStream out) throws IOException, InterruptedException {
            String id = r.header("Request-Id");
            if (!mId.equals(r.header("Expect-Replica"))) {
                write(out, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id
                        + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            boolean crashes = r.header("Prefix-Hash").contains(mCrashingPart + ":");
            if (crashes) {
                mCrashing.add(new Arrival(id, System.nanoTime()));
                mRecord.line("engine %s gets %s, which crashes it", mId, id);
            }
            Thread.sleep(FIRST_EVENT_MILLIS);
            write(out, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: " + mId + "." + id
                    + "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
            int from = r.header("Last-Event-Id").isEmpty() ? 1 : Integer.parseInt(r.header("Last-Event-Id")) + 1;
            for (int i = from; i <= EVENTS; i++) {
                if (crashes && (mCrash == Crash.AFTER_HEAD || i > from)) {
                    crash(this);
                    return;
                }
                String event = "id: " + i + "\ndata: " + mId + "\n\n";
                write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                if (!crashes) {
                    Thread.sleep(EVENT_MILLIS);
                }
            }
            write(out, "0\r\n\r\n");
        }

        private void beat() {
            try {
                while (!mEnded) {
                    mSequence++;
                    post("/Replicas.Heartbeat/" + mId,
                            String.format("{\"service\":\"desk\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                                            + "\"slots\":%d,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"unified\","
                                            + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"seq\":%d,\"born\":%d}",
                                    mIp, mServer.getLocalPort(), mZone, SLOTS, mSequence, mBorn));
                    Thread.sleep(Replica.HEARTBEAT_MILLIS - 50 + mRandom.nextInt(100));
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    Engine(String name, String zone, String ip, String crashingPart, Crash crash, Supplier<List<String>> control, Record record)
            throws IOException {
        mName = name;
        mZone = zone;
        mIp = ip;
        mCrashingPart = crashingPart;
        mCrash = crash;
        mControl = control;
        mRecord = record;
        mLife = new Life(name + "-" + ++mLives, 0);
        mPort = mLife.mServer.getLocalPort();
        record.line("engine %s starts at %s:%d", mLife.mId, ip, mPort);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static void daemon(Runnable task, String name) {
        Thread t = new Thread(task, name);
        t.setDaemon(true);
        t.start();
    }

    private void crash(Life life) {
        if (!life.end()) {
            return;
        }
        mCrashNanos.add(System.nanoTime());
        mRecord.line("engine %s has crashed", life.mId);
        daemon(
                () -> {
                    try {
                        Thread.sleep(BACK_AFTER_MILLIS);
                        if (!mClosed) {
                            mLife = new Life(mName + "-" + ++mLives, mPort);
                            mRecord.line("engine %s is back", mLife.mId);
                        }
                    } catch (IOException | InterruptedException e) {
                        mRecord.line("engine %s does not come back: %s", mName, e);
                    }
                },
                "back");
    }

    private void post(String path, String body) throws InterruptedException {
        List<String> control = mControl.get();
        int first = mRandom.nextInt(control.size());
        for (int i = 0; i < control.size(); i++) {
            try {
                Http.Message answer =
                        Http.call(control.get((first + i) % control.size()), "POST", path,
                                Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8), 1_000);
                if (answer != null && answer.status() / 100 == 2) {
                    return;
                }
            } catch (IOException e) {
                // The next one is tried.
            }
        }
    }

    @Override
    public void close() {
        mClosed = true;
        mLife.end();
    }
}
