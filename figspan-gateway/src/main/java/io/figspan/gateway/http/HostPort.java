package io.figspan.gateway.http;

import java.net.InetSocketAddress;

/** Formats socket addresses for HTTP messages. */
public final class HostPort {
    private HostPort() {}

    /** Formats an address as {@code HOST:PORT}. */
    public static String of(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
