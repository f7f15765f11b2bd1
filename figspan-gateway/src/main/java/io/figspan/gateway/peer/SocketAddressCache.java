package io.figspan.gateway.peer;

import io.figspan.cluster.message.PeerAddress;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Cache of the socket addresses of hosts. Only IP literals are accepted: a host name is never looked up, because that
 * could block and send queries to any server.
 */
final class SocketAddressCache {
    /** Above the number of hosts of a deployment; bounds the memory that forged senders can fill. */
    static final int MAX_ENTRIES = 2_048;

    private final Map<PeerAddress, Optional<InetSocketAddress>> entries = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PeerAddress, Optional<InetSocketAddress>> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /** The socket address; empty if the address is not an IP literal. */
    Optional<InetSocketAddress> resolve(PeerAddress address) {
        return entries.computeIfAbsent(address, SocketAddressCache::parse);
    }

    int size() {
        return entries.size();
    }

    private static Optional<InetSocketAddress> parse(PeerAddress address) {
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(address.address());
        if (bytes == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByAddress(bytes), address.port()));
        } catch (UnknownHostException e) {
            throw new IllegalStateException("an IP literal has 4 or 16 bytes", e);
        }
    }
}
