package io.figspan.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.FigspanException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against an operations page whose example is invalid or whose table of keys differs from the code. */
class OperationsPageTest {
    private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");
    private static final String FENCE = "```";

    private String page;

    @BeforeEach
    void readPage() throws IOException {
        page = Files.readString(PAGE);
    }

    @Test
    void theExampleTreeIsValid() {
        int start = page.indexOf(FENCE + "toml\n") + FENCE.length() + "toml\n".length();
        String example = page.substring(start, page.indexOf(FENCE, start));
        List<FigspanException> faults = SettingsTreeReader.check(List.of(new SettingsPart("page", example)))
                .faults();
        assertEquals(List.of(), faults);
    }

    @Test
    void theTableHasARowForEachKey() {
        for (SettingKey key : SettingKey.values()) {
            String levels = key.levels().stream()
                    .map(level -> level.name().substring(0, 1))
                    .collect(Collectors.joining(" "));
            String row = "| `" + key.path() + "` | " + key.type().name().toLowerCase(Locale.ROOT) + " | " + key.unit()
                    + " | " + key.defaultValue() + " | " + levels + " | ";
            assertTrue(page.contains(row), row);
        }
    }
}
