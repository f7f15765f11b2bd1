package io.figspan.settings.cfg;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/** An IP address and port of another process, written {@code 127.0.0.1:7400} or {@code [::1]:7400}. */
public record PeerAddress(String address, int port) {
    public PeerAddress {
        if (address == null || !InetAddresses.isInetAddress(address)) {
            throw invalid("'" + address + "' is not an IP address");
        }
        if (port < 1 || port > 65_535) {
            throw invalid("port " + port + " is outside 1 to 65535");
        }
    }

    public static PeerAddress parse(String text) {
        try {
            HostAndPort parsed = HostAndPort.fromString(text);
            if (!parsed.hasPort()) {
                throw invalid("'" + text + "' has no port");
            }
            return new PeerAddress(parsed.getHost(), parsed.getPort());
        } catch (IllegalArgumentException e) {
            throw invalid("'" + text + "' is not of the form ADDRESS:PORT");
        }
    }

    @Override
    public String toString() {
        return HostAndPort.fromParts(address, port).toString();
    }

    private static FigspanException invalid(String detail) {
        return new FigspanException(ProblemKind.INVALID_VALUE, detail, Location.of("address"));
    }
}
