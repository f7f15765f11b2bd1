package io.figspan.cluster.message;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/** IP address and port of a host's peer listener. */
public record PeerAddress(String address, int port) {
    private static final int MAX_PORT = 65_535;

    /** Longest text form of an IPv6 address with a zone index. */
    private static final int MAX_ADDRESS_CHARS = 64;

    public PeerAddress {
        if (address == null || address.isEmpty() || address.length() > MAX_ADDRESS_CHARS) {
            throw invalid("peer address is empty or longer than " + MAX_ADDRESS_CHARS + " characters");
        }
        if (port < 1 || port > MAX_PORT) {
            throw invalid("peer port " + port + " is outside 1 to " + MAX_PORT);
        }
    }

    @Override
    public String toString() {
        return address + ":" + port;
    }

    private static FigspanException invalid(String detail) {
        return new FigspanException(ProblemKind.INVALID_VALUE, detail, Location.of("peer address"));
    }
}
