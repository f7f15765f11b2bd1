package io.figspan.settings;

import io.figspan.core.error.Location;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Maps the dotted paths of the tables and keys of a TOML document to lines and columns. The TOML library gives
 * locations only for syntax errors, so this class scans the text. Keys inside an inline table get the line of the
 * enclosing key.
 */
final class TomlLocationIndex {
    private static final Pattern TABLE = Pattern.compile("^(\\s*)\\[([^\\]]+)\\]");
    private static final Pattern KEY = Pattern.compile("^(\\s*)([A-Za-z0-9_.\"' -]+?)\\s*=");

    private final String source;
    private final Map<String, Location> locations = new HashMap<>();

    TomlLocationIndex(String source, String text) {
        this.source = source;
        String table = "";
        int line = 0;
        for (String content : text.lines().toList()) {
            line++;
            Matcher header = TABLE.matcher(content);
            if (header.find()) {
                table = plain(header.group(2));
                locations.putIfAbsent(table, new Location(source, line, header.end(1) + 1));
                continue;
            }
            Matcher key = KEY.matcher(content);
            if (key.find()) {
                String path = join(table, plain(key.group(2)));
                locations.putIfAbsent(path, new Location(source, line, key.end(1) + 1));
            }
        }
    }

    /**
     * Location of a dotted path, else of the first key or table below it, else of the nearest enclosing key or table.
     */
    Location locate(String path) {
        Location first = firstBelow(path);
        String candidate = path;
        while (!candidate.isEmpty()) {
            Location found = locations.get(candidate);
            if (found != null) {
                return found;
            }
            if (first != null) {
                return first;
            }
            int dot = candidate.lastIndexOf('.');
            candidate = dot < 0 ? "" : candidate.substring(0, dot);
        }
        return Location.of(source);
    }

    private Location firstBelow(String path) {
        return locations.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(path + "."))
                .map(Map.Entry::getValue)
                .min(Comparator.comparingInt(Location::line))
                .orElse(null);
    }

    static String join(String table, String key) {
        return table.isEmpty() ? key : table + "." + key;
    }

    private static String plain(String written) {
        return written.replaceAll("[\"']", "").replaceAll("\\s*\\.\\s*", ".").strip();
    }
}
