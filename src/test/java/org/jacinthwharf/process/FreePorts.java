package org.jacinthwharf.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates free ports of loopback addresses.
 *
 * <p>Thread-safe. The ports are below the ephemeral range that the kernel assigns to outgoing
 * connections, so that the ports of a process are still free when it is restarted.
 */
public final class FreePorts {
    private static final int FIRST = 11_000;
    private static final int LAST = 32_000;
    // Starts at a random port, because several test runs may share the machine.
    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(FIRST, LAST));

    private FreePorts() {}

    /** Returns a port of 127.0.0.1 that is free and that this class has not returned recently. */
    public static int next() {
        return next(List.of("127.0.0.1"));
    }

    /**
     * Returns a port that is free on each of these addresses and that this class has not returned
     * recently. A port may be in use on one loopback address and free on another.
     */
    public static int next(List<String> addresses) {
        while (true) {
            int port = NEXT.getAndUpdate(p -> p >= LAST ? FIRST : p + 1);
            if (addresses.stream().allMatch(a -> isFree(a, port))) {
                return port;
            }
        }
    }

    private static boolean isFree(String address, int port) {
        try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName(address))) {
            return s.isBound();
        } catch (IOException inUse) {
            return false;
        }
    }
}
