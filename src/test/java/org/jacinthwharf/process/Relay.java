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
 * A TCP proxy for the connections that one process opens to another, with fault injection.
 *
 * <p>Thread-safe. A stalled connection drops all data and stays open until {@link #heal}, like one
 * whose state was lost by a device on the path.
 */
final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;

    private final ServerSocket mServer;
    private final InetSocketAddress mTarget;
    private final Set<RelayedConnection> mConnections = ConcurrentHashMap.newKeySet();
    private volatile boolean mStallNewConnections;

    Relay(int port, InetSocketAddress target) throws IOException {
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        mTarget = target;
        startDaemon(this::accept);
    }

    /** Stalls the open connections; new ones work. */
    void stallOpenConnections() {
        mConnections.forEach(p -> p.mStalled = true);
    }

    /** Stalls all open and new connections, as a network partition does. */
    void partition() {
        mStallNewConnections = true;
        stallOpenConnections();
    }

    /** Forwards new connections again and closes the stalled ones. */
    void heal() {
        mStallNewConnections = false;
        mConnections.stream().filter(p -> p.mStalled).forEach(RelayedConnection::close);
    }

    /** Returns the number of open connections. */
    int openConnections() {
        return mConnections.size();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        mConnections.forEach(RelayedConnection::close);
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket inbound = mServer.accept();
                Socket outbound = new Socket();
                RelayedConnection connection = new RelayedConnection(inbound, outbound);
                connection.mStalled = mStallNewConnections;
                mConnections.add(connection);
                startDaemon(() -> connection.connect(mTarget));
            } catch (IOException e) {
                // The relay was closed; the loop condition ends the loop.
                continue;
            }
        }
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** A relayed connection with its sockets on both sides. */
    private final class RelayedConnection {
        private final Socket mInbound;
        private final Socket mOutbound;
        private volatile boolean mStalled;

        RelayedConnection(Socket inbound, Socket outbound) {
            mInbound = inbound;
            mOutbound = outbound;
        }

        void connect(InetSocketAddress target) {
            try {
                mInbound.setTcpNoDelay(true);
                mOutbound.setTcpNoDelay(true);
                mOutbound.connect(target);
            } catch (IOException e) {
                close();
                return;
            }
            startDaemon(() -> forward(mOutbound, mInbound));
            forward(mInbound, mOutbound);
        }

        private void forward(Socket from, Socket to) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    // Data that arrives on a stalled connection is dropped, not delivered later.
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
            mConnections.remove(this);
            try (mInbound;
                    mOutbound) {
                // Try-with-resources closes both sockets even if closing one of them fails.
                return;
            } catch (IOException e) {
                throw new IllegalStateException("cannot close a relayed connection", e);
            }
        }
    }
}
