package io.figspan.core.util;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Picks free TCP ports for processes that are started on this machine. */
public final class FreePorts {
    private FreePorts() {}

    /**
     * Picks ports that are free at the address, each of them once: all are held until the last one is picked, since the
     * system may name a port again as soon as it is let go. They are free again when this returns, so another process
     * could take one first.
     */
    public static List<Integer> pick(String address, int count) throws IOException {
        InetAddress host = InetAddress.getByName(address);
        List<ServerSocket> held = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                held.add(new ServerSocket(0, 1, host));
            }
            return held.stream().map(ServerSocket::getLocalPort).toList();
        } finally {
            for (ServerSocket socket : held) {
                socket.close();
            }
        }
    }
}
