import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToIntFunction;

/**
 * Callers who keep their connections, and the platform in front of the gateways: it asks each gateway
 * once a second whether it is ready and sends new connections to one that hasn't missed twice, in the
 * caller's zone if there is one.
 *
 * <p>A caller sends a request of a route that may be repeated, waits for the answer, and thinks. It
 * gives up a request that has no answer after a second, and sends it once more, on a new connection
 * and with a new id.
 *
 * <p>Thread-safe.
 */
final class Requesters implements AutoCloseable {
    private static final int GIVE_UP_MILLIS = 1_000;
    private static final int PROBE_MILLIS = 1_000;
    private static final int DEADLINE_MILLIS = 3_000;

    /** When each request was sent. */
    final Map<String, Long> mSentNanos = new ConcurrentHashMap<>();

    final AtomicInteger mServed = new AtomicInteger();
    private final List<Fleet.Machine> mGateways;
    private final Map<Fleet.Machine, Boolean> mInRotation = new ConcurrentHashMap<>();
    private final int mReadyPort;
    private final int mThinkMillis;
    private final Record mRecord;
    private volatile boolean mEnded;

    Requesters(List<Fleet.Machine> gateways, int readyPort, ToIntFunction<Fleet.Machine> callers, int thinkMillis, Record record) {
        mGateways = gateways;
        mReadyPort = readyPort;
        mThinkMillis = thinkMillis;
        mRecord = record;
        gateways.forEach(m -> mInRotation.put(m, true));
        for (Fleet.Machine m : gateways) {
            daemon(() -> probe(m), 0);
            for (int i = 0; i < callers.applyAsInt(m); i++) {
                daemon(() -> call(m.mZone), ThreadLocalRandom.current().nextInt(thinkMillis));
            }
        }
    }

    private void daemon(Runnable task, int delayMillis) {
        Thread t =
                new Thread(
                        null,
                        () -> {
                            try {
                                Thread.sleep(delayMillis);
                                task.run();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "requester",
                        256 << 10);
        t.setDaemon(true);
        t.start();
    }

    private void probe(Fleet.Machine m) {
        int misses = 0;
        while (!mEnded) {
            long start = System.nanoTime();
            boolean ready;
            try {
                Http.Message answer =
                        Http.call(m.mIp + ":" + mReadyPort, "GET", "/ready", new HashMap<>(), new byte[0], PROBE_MILLIS);
                ready = answer != null && answer.status() == 200;
            } catch (IOException e) {
                ready = false;
            }
            misses = ready ? 0 : misses + 1;
            boolean in = misses < 2;
            if (mInRotation.put(m, in) != in) {
                mRecord.line("platform: %s is %s rotation", m.mName, in ? "in" : "out of");
            }
            try {
                Thread.sleep(Math.max(0, PROBE_MILLIS - (System.nanoTime() - start) / 1_000_000));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private Fleet.Machine choose(String zone) {
        List<Fleet.Machine> ofZone = mGateways.stream().filter(m -> m.mZone.equals(zone)).toList();
        List<Fleet.Machine> ready = new ArrayList<>(ofZone.stream().filter(mInRotation::get).toList());
        if (2 * ready.size() < ofZone.size()) {
            ready = new ArrayList<>(ofZone);
        }
        return ready.get(ThreadLocalRandom.current().nextInt(ready.size()));
    }

    private void call(String zone) {
        Connection connection = null;
        boolean repeated = false;
        while (!mEnded) {
            String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
            boolean answered = false;
            try {
                if (connection == null) {
                    connection = new Connection(choose(zone));
                }
                answered = connection.request(id);
            } catch (IOException e) {
                mRecord.line("caller: %s at %s: %s", id, connection == null ? "none" : connection.mGateway.mName, e.getMessage());
            }
            if (!answered && connection != null) {
                connection.close();
                connection = null;
            }
            if (!answered && !repeated) {
                repeated = true;
                continue;
            }
            repeated = false;
            try {
                Thread.sleep(ThreadLocalRandom.current().nextInt(mThinkMillis));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private final class Connection {
        final Fleet.Machine mGateway;
        private final Socket mSocket = new Socket();
        private final InputStream mIn;

        Connection(Fleet.Machine gateway) throws IOException {
            mGateway = gateway;
            int colon = gateway.front().lastIndexOf(':');
            mSocket.setTcpNoDelay(true);
            mSocket.setSoTimeout(GIVE_UP_MILLIS);
            mSocket.connect(
                    new InetSocketAddress(gateway.mIp, Integer.parseInt(gateway.front().substring(colon + 1))), 1_000);
            mIn = new BufferedInputStream(mSocket.getInputStream());
        }

        /** Sends a request; returns whether the connection can be used again. */
        boolean request(String id) throws IOException {
            String request = "POST /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\nKey: key1\r\nDeadline-Ms: "
                    + DEADLINE_MILLIS + "\r\nContent-Length: 1\r\n\r\nx";
            mSentNanos.put(id, System.nanoTime());
            mSocket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            Http.Message answer = Http.read(mIn);
            if (answer == null) {
                throw new EOFException("closed");
            }
            mRecord.line("caller: %s at %s: %d", id, mGateway.mName, answer.status());
            if (answer.status() == 200) {
                mServed.incrementAndGet();
            }
            return !answer.header("Connection").equalsIgnoreCase("close");
        }

        void close() {
            try {
                mSocket.close();
            } catch (IOException e) {
                mRecord.line("caller: %s", e.getMessage());
            }
        }
    }

    @Override
    public void close() {
        mEnded = true;
    }
}
