package io.figspan.host.backend;

import com.google.common.base.Splitter;
import java.util.Map;
import java.util.Optional;

/** The load report of about 40 bytes that rides on each response of an engine. */
record CompactReport(long incarnation, long backlogTokens, long freeTokens, boolean leaving) {
    private static final Splitter.MapSplitter MEMBERS = Splitter.on(';').withKeyValueSeparator('=');

    /** Reads the header value; empty when it is missing or malformed. */
    static Optional<CompactReport> parse(String header) {
        if (header == null || header.length() > 200) {
            return Optional.empty();
        }
        try {
            Map<String, String> members = MEMBERS.split(header);
            return Optional.of(new CompactReport(
                    Long.parseLong(members.getOrDefault("i", "")),
                    Long.parseLong(members.getOrDefault("b", "")),
                    Long.parseLong(members.getOrDefault("f", "")),
                    "1".equals(members.get("l"))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
