package io.figspan.gateway.peer;

import io.figspan.cluster.message.PeerAddress;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The socket addresses of hosts. Names are never looked up, since that could take long and ask anyone. */
final class SocketAddressCache {
    /** Above the number of hosts of a deployment; bounds what forged senders can fill. */
    static final int MAX_KEPT = 2_048;

    private final Map<PeerAddress, Optional<InetSocketAddress>> kept = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PeerAddress, Optional<InetSocketAddress>> eldest) {
            return size() > MAX_KEPT;
        }
    };

    /** The socket address; empty for one that is no literal. */
    Optional<InetSocketAddress> find(PeerAddress address) {
        return kept.computeIfAbsent(address, SocketAddressCache::read);
    }

    int kept() {
        return kept.size();
    }

    private static Optional<InetSocketAddress> read(PeerAddress address) {
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(address.address());
        if (bytes == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByAddress(bytes), address.port()));
        } catch (UnknownHostException e) {
            throw new IllegalStateException("a literal has 4 or 16 bytes", e);
        }
    }
}
