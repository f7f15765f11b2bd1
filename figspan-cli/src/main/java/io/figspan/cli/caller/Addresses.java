package io.figspan.cli.caller;

import com.google.common.base.Splitter;
import io.figspan.settings.cfg.PeerAddress;
import java.util.List;

/** Reads lists of addresses in flags. */
final class Addresses {
    private Addresses() {}

    /** Parses {@code ADDRESS:PORT,ADDRESS:PORT}. */
    static List<PeerAddress> parse(String text) {
        return Splitter.on(',')
                .omitEmptyStrings()
                .trimResults()
                .splitToStream(text)
                .map(PeerAddress::parse)
                .toList();
    }
}
