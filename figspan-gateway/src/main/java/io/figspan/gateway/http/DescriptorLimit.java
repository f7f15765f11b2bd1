package io.figspan.gateway.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The number of descriptors that this process may open. */
public final class DescriptorLimit {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String NAME = "Max open files";

    /** Used where the limit is unknown or none. */
    private static final int DEFAULT = 4_096;

    /** More connections than this would hold more than the smallest heap with the 2 KB that are free for each. */
    private static final int MAX = 16_384;

    /** The part of the descriptors that callers and their connections to servers may use: 3 of 4. */
    private static final int CALLER_PARTS = 3;

    private static final int PARTS = 4;

    private DescriptorLimit() {}

    /** Descriptors for callers; the others are left to the other ports, the store, other hosts and files. */
    public static int ofCallers() {
        return ofProcess() / PARTS * CALLER_PARTS;
    }

    /** The soft limit, which the JVM raises to the hard limit when it starts. */
    public static int ofProcess() {
        try {
            return Files.readAllLines(LIMITS).stream()
                    .filter(line -> line.startsWith(NAME))
                    .findFirst()
                    .map(DescriptorLimit::softLimit)
                    .orElse(DEFAULT);
        } catch (IOException e) {
            return DEFAULT;
        }
    }

    private static int softLimit(String line) {
        String soft = line.substring(NAME.length()).strip().split(" ", 2)[0];
        return soft.matches("[0-9]{1,9}") ? Math.min(MAX, Integer.parseInt(soft)) : DEFAULT;
    }
}
