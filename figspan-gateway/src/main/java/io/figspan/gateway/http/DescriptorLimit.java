package io.figspan.gateway.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The number of descriptors that this process may open. */
public final class DescriptorLimit {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String NAME = "Max open files";

    /** Used where the limit is unknown or none; the smallest machine admits 4,100. */
    private static final int DEFAULT = 4_096;

    private static final int MAX = 16_384;

    private DescriptorLimit() {}

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
