package io.figspan.core.error;

/**
 * Where an error was found.
 *
 * @param source file, field or other source of the faulty value
 * @param line line number, or 0 if unknown
 * @param column column number, or 0 if unknown
 */
public record Location(String source, int line, int column) {
    public Location {
        source = source == null ? "unknown" : source;
    }

    /** Returns a location without a line and column. */
    public static Location of(String source) {
        return new Location(source, 0, 0);
    }

    @Override
    public String toString() {
        return line > 0 ? source + ":" + line + ":" + column : source;
    }
}
