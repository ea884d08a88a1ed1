package org.jacinthwharf.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Passes the TCP connections of one direction between two processes on, until told otherwise.
 *
 * <p>Thread-safe. A connection that was stalled carries nothing any more and stays open until
 * {@link #pass}, like one whose state a device between the two ends has lost.
 */
final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;

    private final ServerSocket mServer;
    private final InetSocketAddress mTarget;
    private final Set<Pair> mPairs = ConcurrentHashMap.newKeySet();
    private volatile boolean mStallNew;

    Relay(int port, InetSocketAddress target) throws IOException {
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        mTarget = target;
        daemon(this::accept);
    }

    /** Stalls the connections that are open; new ones pass. */
    void stallOpen() {
        mPairs.forEach(p -> p.mStalled = true);
    }

    /** Stalls all connections, open and new ones, as a network partition does. */
    void cut() {
        mStallNew = true;
        stallOpen();
    }

    /** Lets new connections pass and closes the stalled ones. */
    void pass() {
        mStallNew = false;
        mPairs.stream().filter(p -> p.mStalled).forEach(Pair::close);
    }

    /** Returns how many connections are open. */
    int open() {
        return mPairs.size();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        mPairs.forEach(Pair::close);
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket caller = mServer.accept();
                Socket callee = new Socket();
                Pair pair = new Pair(caller, callee);
                pair.mStalled = mStallNew;
                mPairs.add(pair);
                daemon(() -> pair.connect(mTarget));
            } catch (IOException e) {
                // The relay was closed; the loop ends by its condition.
                continue;
            }
        }
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** One connection on both sides of the relay. */
    private final class Pair {
        private final Socket mCaller;
        private final Socket mCallee;
        private volatile boolean mStalled;

        Pair(Socket caller, Socket callee) {
            mCaller = caller;
            mCallee = callee;
        }

        void connect(InetSocketAddress target) {
            try {
                mCaller.setTcpNoDelay(true);
                mCallee.setTcpNoDelay(true);
                mCallee.connect(target);
            } catch (IOException e) {
                close();
                return;
            }
            daemon(() -> pump(mCallee, mCaller));
            pump(mCaller, mCallee);
        }

        private void pump(Socket from, Socket to) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    // What arrives on a stalled connection is lost, not delivered late.
                    if (!mStalled) {
                        out.write(buffer, 0, n);
                    }
                }
            } catch (IOException e) {
                close();
                return;
            }
            if (!mStalled) {
                close();
            }
        }

        void close() {
            mPairs.remove(this);
            try (mCaller;
                    mCallee) {
                // Both sockets close even if one of them fails to.
                return;
            } catch (IOException e) {
                throw new IllegalStateException("cannot close a relayed connection", e);
            }
        }
    }
}
