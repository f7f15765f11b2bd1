package io.figspan.gateway.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against log events that the operations page does not document. */
class LogEventsPageTest {
    private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");
    private static final Path SOURCES = Path.of("src", "main", "java");
    private static final Pattern EVENT =
            Pattern.compile("(?:info|warn|lifecycle)\\(Part\\.\\w+, \"(\\w+)\"|\\bline\\(\"(\\w+)\"");

    private static Set<String> eventsInSources() throws IOException {
        Set<String> events = new TreeSet<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            List<Path> sources = files.filter(Files::isRegularFile).toList();
            for (Path source : sources) {
                Matcher matcher = EVENT.matcher(Files.readString(source));
                while (matcher.find()) {
                    events.add(matcher.group(1) == null ? matcher.group(2) : matcher.group(1));
                }
            }
        }
        return events;
    }

    @Test
    void everyLogEventIsDocumentedOnTheOperationsPage() throws IOException {
        String page = Files.readString(PAGE);
        Set<String> events = eventsInSources();
        assertTrue(events.contains("sent"), events.toString());
        List<String> missing = events.stream()
                .filter(event -> !page.contains("`" + event + "`"))
                .toList();
        assertEquals(List.of(), missing);
    }
}
