package io.figspan.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.FigspanException;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.ServiceId;
import java.util.List;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Guards against faults that are accepted, reported at the wrong location, or reported without a remedy. */
class SettingsTreeReaderTest {
    private static final String KEY = "0123456789abcdef0123456789abcdef";

    @Test
    void eachFaultNamesItsPlaceAndTheNearestName() {
        String fleet =
                """
                [fleet]
                tokenKey = "short"
                placement.subsetSize = 65
                placement.longPromtTokens = 5
                retries.budget = "a tenth"
                share = 0.5

                [fleet.models.large]
                share = 0.7
                version = "v1"
                [fleet.models.small]
                share = 0.4
                version = "v1"

                [fleet.roster]
                h1 = 3

                [flet]
                weight = 1
                """;
        String organisation =
                """
                [organisation.acme]
                weight = 2
                priorities.default = "standart"
                limits = 5

                [organisation.acme.service.chat]
                knd = "prompt"

                [organisation.acme.service.chat.place.az-1]
                kind = "order"

                [organisation."not a name"]
                weight = 2
                """;
        Approvals.verify(report(new SettingsPart("fleet.toml", fleet), new SettingsPart("acme.toml", organisation)));
    }

    @Test
    void faultsBetweenPartsNameBothParts() {
        Approvals.verify(String.join(
                "\n",
                report(part("a.toml", "[fleet]\nweight = 1"), part("b.toml", "[fleet]\nretries.budget = 0.2")),
                report(
                        part("a.toml", "[organisation.acme]\nweight = 1"),
                        part("b.toml", "[organisation.acne.service.chat]\nkind = \"prompt\"")),
                report(
                        part("a.toml", "[fleet.models.large]\nshare = 1\nversion = \"v1\""),
                        part("b.toml", "[organisation.acme]\nmodel = \"lagre\"")),
                report(part("a.toml", "[fleet]\nweight = 1\nweight = 2")),
                report(part("a.toml", "[fleet\nweight = 1"))));
    }

    @Test
    void aWholeTreeIsMergedFromItsParts() {
        String fleet =
                """
                [fleet]
                tokenKey = "0123456789abcdef0123456789abcdef"
                [fleet.roster]
                h2 = "az-2"
                h1 = "az-1"
                [fleet.models.large]
                share = 1
                version = "v7"
                sizeMegabytes = 5
                """;
        String services =
                """
                [organisation.acme.service.kits]
                kind = "order"
                [organisation.acme.service.kits.orders]
                idempotencyKey = true
                """;
        SettingsTree tree = SettingsTreeReader.read(List.of(
                part("fleet.toml", fleet),
                part("acme.toml", "[organisation.acme]\nshare = 0.3\n"),
                part("acme-services.toml", services)));
        ResolvedSettings kits = tree.resolve(OrganisationId.of("acme"), ServiceId.of("kits"));
        assertEquals("order", kits.text(SettingKey.KIND));
        assertTrue(kits.flag(SettingKey.ORDERS_IDEMPOTENCY_KEY));
        assertEquals("[h1=az-1, h2=az-2]", tree.roster().toString());
        assertEquals(5, tree.models().get(0).sizeMegabytes());
        assertEquals(KEY, kits.secret(SettingKey.TOKEN_KEY).text());
        assertFalse(kits.value(SettingKey.TOKEN_KEY).toString().contains(KEY));
    }

    @Test
    void theTableOfKeysIsTheApprovedOne() {
        StringBuilder table = new StringBuilder();
        for (SettingKey key : SettingKey.values()) {
            table.append(key.path()).append(" | ").append(key.type()).append(" | ");
            table.append(key.unit()).append(" | ").append(key.defaultValue()).append(" | ");
            table.append(key.levels()).append('\n');
        }
        Approvals.verify(table);
    }

    private static SettingsPart part(String name, String text) {
        return new SettingsPart(name, text);
    }

    private static String report(SettingsPart... parts) {
        return SettingsTreeReader.check(List.of(parts)).faults().stream()
                .map(FigspanException::getMessage)
                .collect(Collectors.joining("\n", "", "\n"));
    }
}
