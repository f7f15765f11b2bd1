package io.figspan.core.util;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free TCP ports for processes that are about to be started on this machine. */
public final class FreePorts {
    private FreePorts() {}

    /**
     * Returns {@code count} distinct ports that are free at {@code address}. All are kept bound until the last one is
     * found, because the operating system may assign a port again as soon as it is closed. They are closed when this
     * method returns, so another process may bind one before the caller does.
     */
    public static List<Integer> pick(String address, int count) throws IOException {
        InetAddress bindAddress = InetAddress.getByName(address);
        List<ServerSocket> boundSockets = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                boundSockets.add(new ServerSocket(0, 1, bindAddress));
            }
            return boundSockets.stream().map(ServerSocket::getLocalPort).toList();
        } finally {
            for (ServerSocket socket : boundSockets) {
                socket.close();
            }
        }
    }
}
