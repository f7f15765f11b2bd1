package io.figspan.gateway.http;

import java.net.InetSocketAddress;

/** Addresses as they stand in HTTP messages. */
public final class HostPort {
    private HostPort() {}

    /** The address as {@code HOST:PORT}. */
    public static String of(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
