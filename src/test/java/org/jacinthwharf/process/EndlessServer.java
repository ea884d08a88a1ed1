package org.jacinthwharf.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Answers a request with bytes that do not end until the client closes the connection.
 *
 * <p>Thread-safe. Serves one connection.
 */
public final class EndlessServer implements AutoCloseable {
    private final ServerSocket mServer = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    private final CountDownLatch mDisconnected = new CountDownLatch(1);

    /**
     * Starts a server.
     *
     * @param start sent once
     * @param repeated sent again and again after it
     */
    public EndlessServer(String start, String repeated) throws IOException {
        Thread t = new Thread(() -> serve(start, repeated), "endless server");
        t.setDaemon(true);
        t.start();
    }

    public String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    /** Returns whether the client closes the connection within a time. */
    public boolean awaitDisconnect(long seconds) throws InterruptedException {
        return mDisconnected.await(seconds, TimeUnit.SECONDS);
    }

    private void serve(String start, String repeated) {
        byte[] block =
                repeated.repeat(1 + 4_096 / repeated.length()).getBytes(StandardCharsets.US_ASCII);
        try (Socket socket = mServer.accept()) {
            InputStream in = socket.getInputStream();
            if (in.read(new byte[8 << 10]) < 0) {
                return;
            }
            OutputStream out = socket.getOutputStream();
            out.write(start.getBytes(StandardCharsets.US_ASCII));
            while (!mServer.isClosed()) {
                out.write(block);
                out.flush();
                Thread.sleep(1);
            }
        } catch (IOException e) {
            mDisconnected.countDown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
