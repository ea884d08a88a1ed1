package org.jacinthwharf.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Free ports of the loopback address.
 *
 * <p>Thread-safe. The ports are below those that the kernel gives to outgoing connections, so that
 * a process that is started again finds its ports free.
 */
final class Ports {
    private static final int FIRST = 11_000;
    private static final int LAST = 32_000;
    // Starts at random, since several test runs may share the machine.
    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(FIRST, LAST));

    private Ports() {}

    /** Returns a port that was free and that this method did not return lately. */
    static int free() {
        while (true) {
            int port = NEXT.getAndUpdate(p -> p >= LAST ? FIRST : p + 1);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return s.getLocalPort();
            } catch (IOException e) {
                // The port is in use; the next one is tried.
                continue;
            }
        }
    }
}
