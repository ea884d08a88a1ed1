package org.jacinthwharf.process.settings;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/**
 * An IP address and a port.
 *
 * <p>Immutable. Host names are rejected, since processes address each other by IP address.
 *
 * @param ip an IPv4 or IPv6 address
 * @param port 1 to 65535
 */
public record Endpoint(String ip, int port) {
    /**
     * Creates an endpoint.
     *
     * @throws IllegalArgumentException if {@code ip} is not an IP address or {@code port} is out of
     *     range
     */
    public Endpoint {
        checkArgument(isIp(ip), "not an IP address: '%s'", ip);
        checkArgument(port >= 1 && port <= 65535, "port out of range: %s", port);
    }

    /**
     * Returns whether a text is an IP address. One with a scope is not: whether it can be used
     * depends on the interfaces of a VM.
     */
    public static boolean isIp(String text) {
        return InetAddresses.isInetAddress(text) && text.indexOf('%') < 0;
    }

    /**
     * Parses {@code "ip:port"} or {@code "[ipv6]:port"}.
     *
     * @throws IllegalArgumentException if the text has a different format
     */
    @JsonCreator
    public static Endpoint parse(String text) {
        HostAndPort hostAndPort = HostAndPort.fromString(text).requireBracketsForIPv6();
        checkArgument(hostAndPort.hasPort(), "no port in '%s'", text);
        return new Endpoint(hostAndPort.getHost(), hostAndPort.getPort());
    }

    /** Returns the socket address; does not use DNS. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(InetAddresses.forString(ip), port);
    }

    @JsonValue
    @Override
    public String toString() {
        return HostAndPort.fromParts(ip, port).toString();
    }
}
