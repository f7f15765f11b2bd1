package io.figspan.host.backend;

import com.google.common.base.Splitter;
import io.figspan.policy.placement.LoadReport;
import java.util.Map;
import java.util.Optional;

/** The load report that rides on each response of an engine. */
record CompactReport(long incarnation, LoadReport load, boolean leaving) {
    private static final int MAX_CHARS = 200;
    private static final int HEX = 16;
    private static final Splitter.MapSplitter MEMBERS = Splitter.on(';').withKeyValueSeparator('=');

    /** Reads the header value; empty when it is missing or malformed. */
    static Optional<CompactReport> parse(String header) {
        if (header == null || header.length() > MAX_CHARS) {
            return Optional.empty();
        }
        try {
            Map<String, String> members = MEMBERS.split(header);
            LoadReport load = new LoadReport(
                    Long.parseLong(members.getOrDefault("s", "")),
                    Long.parseLong(members.getOrDefault("b", "")),
                    Integer.parseInt(members.getOrDefault("d", "")),
                    Long.parseLong(members.getOrDefault("u", "")),
                    Long.parseLong(members.getOrDefault("t", "")),
                    Long.parseUnsignedLong(members.getOrDefault("h", "0"), HEX));
            return Optional.of(new CompactReport(
                    Long.parseLong(members.getOrDefault("i", "")), load, "1".equals(members.get("l"))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
