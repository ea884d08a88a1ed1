package org.jacinthwharf.connection;

import com.google.common.base.CharMatcher;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The address of a backend server: a literal, since a name would need a lookup that may block or be
 * spoofed.
 *
 * <p>Immutable. Invariant: it is the unicast address of one server, and no address that only has a
 * meaning on the VM that wrote it, such as one with a scope.
 */
public final class ServerAddress {
    private static final CharMatcher SCOPE = CharMatcher.is('%');

    private final String mText;
    private final InetSocketAddress mSocketAddress;

    private ServerAddress(String text, InetSocketAddress socketAddress) {
        mText = text;
        mSocketAddress = socketAddress;
    }

    /** Returns the address that {@code "ip:port"} stands for, or empty if it is none. */
    public static Optional<ServerAddress> parse(String text) {
        try {
            HostAndPort parsed = HostAndPort.fromString(text);
            if (!parsed.hasPort() || parsed.getPort() == 0 || SCOPE.matchesAnyOf(text)) {
                return Optional.empty();
            }
            InetAddress ip = InetAddresses.forString(parsed.getHost());
            return isUnicast(ip)
                    ? Optional.of(
                            new ServerAddress(text, new InetSocketAddress(ip, parsed.getPort())))
                    : Optional.empty();
        } catch (IllegalArgumentException notAnAddress) {
            return Optional.empty();
        }
    }

    private static boolean isUnicast(InetAddress ip) {
        byte[] bytes = ip.getAddress();
        boolean ipv4 = bytes.length == 4;
        // 0.0.0.0/8 names this network, and 240.0.0.0/4 holds the broadcast address.
        boolean reserved = ipv4 && (bytes[0] == 0 || (bytes[0] & 0xf0) == 0xf0);
        return !ip.isAnyLocalAddress() && !ip.isMulticastAddress() && !reserved;
    }

    /** Returns the resolved address. */
    public InetSocketAddress socketAddress() {
        return mSocketAddress;
    }

    /** Returns whether a VM with the given address reaches addresses of this family. */
    public boolean isSameFamilyAs(InetAddress vm) {
        return vm.getClass() == mSocketAddress.getAddress().getClass();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ServerAddress a && mSocketAddress.equals(a.mSocketAddress);
    }

    @Override
    public int hashCode() {
        return mSocketAddress.hashCode();
    }

    /** Returns {@code "ip:port"} as the server announced it. */
    @Override
    public String toString() {
        return mText;
    }
}
