import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * A stand-in replica of a plain service: a number of places, heartbeats, an orderly end.
 *
 * <p>Thread-safe.
 */
final class Replica implements AutoCloseable {
    static final int HEARTBEAT_MILLIS = 1_200;

    final String mId;
    final String mVersion;
    final List<Arrival> mArrivals = new CopyOnWriteArrayList<>();
    final AtomicInteger mBad = new AtomicInteger();
    final AtomicInteger mRunning = new AtomicInteger();
    private final String mService;
    private final String mZone;
    private final int mSlots;
    private final ServerSocket mServer;
    private final Supplier<List<String>> mControl;
    private final Behaviour mBehaviour;
    private final Record mRecord;
    private final Semaphore mPlaces;
    private final long mBorn = System.currentTimeMillis();
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private final Random mRandom = new Random();
    private volatile String mState = "ready";
    private volatile long mColdUntilNanos = System.nanoTime();
    private volatile boolean mEnded;
    private volatile boolean mSilent;
    private int mSequence;

    /** A request that has arrived. */
    record Arrival(String request, long nanos) {}

    /** How a replica works on a request. */
    interface Behaviour {
        /** Takes the time that the work needs; returns the status. */
        int work(Replica replica) throws InterruptedException;
    }

    Replica(
            String id,
            String service,
            String version,
            String zone,
            String ip,
            int slots,
            Supplier<List<String>> control,
            Behaviour behaviour,
            Record record)
            throws IOException {
        mId = id;
        mService = service;
        mVersion = version;
        mZone = zone;
        mSlots = slots;
        mControl = control;
        mBehaviour = behaviour;
        mRecord = record;
        mPlaces = new Semaphore(slots);
        mServer = new ServerSocket(0, 200, InetAddress.getByName(ip));
        daemon(this::accept, "accept " + id);
        daemon(this::beat, "beat " + id);
        mRecord.line("replica %s (%s %s, %s) starts at %s", id, service, version, zone, address());
    }

    private static void daemon(Runnable task, String name) {
        Thread t = new Thread(task, name);
        t.setDaemon(true);
        t.start();
    }

    String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    private long coldLeftMillis() {
        return Math.max(0, (mColdUntilNanos - System.nanoTime()) / 1_000_000);
    }

    /** Makes the replica cold for a time, and reports it at once. */
    void becomeCold(long millis) throws InterruptedException {
        mColdUntilNanos = System.nanoTime() + millis * 1_000_000;
        boolean acknowledged = sendBeat();
        mRecord.line("replica %s is cold for %d ms, acknowledged %b", mId, millis, acknowledged);
    }

    /** Reports that the replica leaves, serves on for a time, and ends. */
    void drain(long drainMillis) {
        daemon(
                () -> {
                    try {
                        mState = "draining";
                        sendBeat();
                        mRecord.line("replica %s drains", mId);
                        Thread.sleep(drainMillis + 500);
                        post("/Replicas.Deregister/" + mId, "{\"born\":" + mBorn + "}");
                        close();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "drain " + mId);
    }

    private void beat() {
        try {
            while (!mEnded && !mSilent) {
                sendBeat();
                Thread.sleep(HEARTBEAT_MILLIS - 50 + mRandom.nextInt(100));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean sendBeat() throws InterruptedException {
        return post("/Replicas.Heartbeat/" + mId, nextBeat());
    }

    private synchronized String nextBeat() {
        mSequence++;
        return String.format(
                "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\","
                        + "\"slots\":%d,\"state\":\"%s\",\"coldLeftMs\":%d,\"seq\":%d,\"born\":%d}",
                mService, address(), mZone, mVersion, mSlots, mState, coldLeftMillis(), mSequence, mBorn);
    }

    /** Sends a heartbeat now that arrives late; the returned task delivers it. */
    Runnable sendDelayedBeat() {
        String beat = nextBeat();
        mRecord.line("replica %s sends a heartbeat that is held up: %s", mId, beat);
        return () -> {
            try {
                boolean taken = post("/Replicas.Heartbeat/" + mId, beat);
                mRecord.line("the late heartbeat of %s arrives, acknowledged %b", mId, taken);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
    }

    /** Says that the replica is gone, sends no more heartbeats, and serves on. */
    boolean deregister() throws InterruptedException {
        mSilent = true;
        boolean acknowledged = post("/Replicas.Deregister/" + mId, "{\"born\":" + mBorn + "}");
        mRecord.line("replica %s deregisters, acknowledged %b", mId, acknowledged);
        return acknowledged;
    }

    /** Posts to one control machine after the other until one acknowledges. */
    private boolean post(String path, String body) throws InterruptedException {
        List<String> control = mControl.get();
        int first = mRandom.nextInt(control.size());
        for (int i = 0; i < control.size(); i++) {
            String address = control.get((first + i) % control.size());
            try {
                Http.Message answer =
                        Http.call(
                                address,
                                "POST",
                                path,
                                Map.of("Content-Type", "application/json"),
                                body.getBytes(StandardCharsets.UTF_8),
                                1_000);
                if (answer != null && answer.status() / 100 == 2) {
                    return true;
                }
            } catch (IOException e) {
                // The next one is tried.
            }
        }
        return false;
    }

    private void accept() {
        while (!mServer.isClosed()) {
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
            for (Http.Message r = Http.read(in); r != null; r = Http.read(in)) {
                out.write(answer(r).getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The gateway has closed the connection, or this replica has ended.
        } finally {
            mOpen.remove(socket);
        }
    }

    private String answer(Http.Message request) throws InterruptedException {
        String id = request.header("Request-Id");
        if (request.firstLine().startsWith("GET /health ")) {
            return "HTTP/1.1 200 OK\r\nReplica-Id: " + mId + "\r\nContent-Length: 0\r\n\r\n";
        }
        if (!mId.equals(request.header("Expect-Replica"))) {
            return "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id
                    + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        }
        mArrivals.add(new Arrival(id, System.nanoTime()));
        if (!mPlaces.tryAcquire()) {
            if (mPlaces.getQueueLength() > 2 * mSlots) {
                mRecord.line("replica %s (%s) rejects %s, full", mId, mVersion, id);
                return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id
                        + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            }
            mPlaces.acquire();
        }
        int status;
        mRunning.incrementAndGet();
        try {
            status = mBehaviour.work(this);
        } finally {
            mRunning.decrementAndGet();
            mPlaces.release();
        }
        if (status >= 500) {
            mBad.incrementAndGet();
        }
        mRecord.line("replica %s (%s) ran %s: %d", mId, mVersion, id, status);
        String body = status == 200 ? "ran by " + mId : "failed";
        return "HTTP/1.1 " + status + (status == 200 ? " OK" : " Failed") + "\r\nRequest-Id: " + id
                + "\r\nResponse-Seal: " + mId + "." + id + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    @Override
    public void close() {
        mEnded = true;
        mRecord.line("replica %s ends", mId);
        try {
            mServer.close();
            for (Socket s : mOpen) {
                s.close();
            }
        } catch (IOException e) {
            mRecord.line("replica %s: %s", mId, e);
        }
    }
}
