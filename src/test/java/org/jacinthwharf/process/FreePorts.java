package org.jacinthwharf.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates free ports of the loopback address.
 *
 * <p>Thread-safe. The ports are below the ephemeral range that the kernel assigns to outgoing
 * connections, so that the ports of a process are still free when it is restarted.
 */
final class FreePorts {
    private static final int FIRST = 11_000;
    private static final int LAST = 32_000;
    // Starts at a random port, because several test runs may share the machine.
    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(FIRST, LAST));

    private FreePorts() {}

    /** Returns a port that is free and that this method has not returned recently. */
    static int next() {
        while (true) {
            int port = NEXT.getAndUpdate(p -> p >= LAST ? FIRST : p + 1);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return s.getLocalPort();
            } catch (IOException e) {
                // The port is in use; tries the next one.
                continue;
            }
        }
    }
}
