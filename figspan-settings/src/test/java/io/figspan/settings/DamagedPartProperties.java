package io.figspan.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.ProblemKind;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against a corrupt part that causes an unexpected exception or yields a tree despite its faults. */
class DamagedPartProperties {
    private static final String VALID_PART =
            """
            [fleet]
            tokenKey = "0123456789abcdef0123456789abcdef"
            retries.budget = 0.1
            [fleet.roster]
            h1 = "az-1"
            [fleet.models.large]
            share = 1.0
            version = "v1"
            [organisation.acme]
            share = 0.3
            [organisation.acme.service.chat]
            model = "large"
            prompts = { deadlineMs = 5_000, maxTokens = 1000 }
            [organisation.acme.service.chat.place.az-1]
            prompts.deadlineMs = 6000
            """;
    private static final List<String> INSERTIONS = List.of(
            "nan",
            "-inf",
            "1979-05-27T07:32:00Z",
            "99999999999999999999",
            "[[",
            "]",
            "\"\"\"",
            "{",
            "=",
            ".",
            "'",
            "\n[fleet]\n",
            "\n[organisation]\n",
            "\\u0000",
            "/",
            "\uD800",
            "0x",
            "true",
            "#",
            "\r");

    @Property(tries = 3000, seed = "14")
    void aDamagedPartIsReadOrRefusedWithTypedFaults(@ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder(VALID_PART);
        int corruptions = 1 + random.nextInt(3);
        for (int i = 0; i < corruptions; i++) {
            corrupt(random, text);
        }
        SettingsTreeReader.Report report = SettingsTreeReader.check(List.of(new SettingsPart("p", text.toString())));
        assertEquals(report.faults().isEmpty(), report.tree().isPresent());
        for (FigspanException fault : report.faults()) {
            assertEquals(ProblemKind.SETTINGS_INVALID, fault.kind());
        }
    }

    private static void corrupt(Random random, StringBuilder text) {
        int start = random.nextInt(text.length());
        int end = Math.min(text.length(), start + random.nextInt(6));
        if (random.nextBoolean()) {
            text.delete(start, end);
        } else {
            text.replace(start, end, INSERTIONS.get(random.nextInt(INSERTIONS.size())));
        }
    }
}
