package io.figspan.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Result;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Guards against accepting a malformed manifest, or parts that are missing, invalid or do not match the manifest. */
class SettingsSnapshotTest {
    private static final SettingsPart PART = new SettingsPart("fleet.toml", "[fleet]\nweight = 2\n");

    @Test
    void aManifestSurvivesItsJsonForm() {
        SettingsManifest manifest = SettingsManifest.of(7, List.of(PART));
        assertEquals(manifest, SettingsManifest.fromJson(manifest.toJson()));
    }

    @Test
    void eachRefusalSaysWhatDoesNotFit() {
        SettingsManifest manifest = SettingsManifest.of(7, List.of(PART));
        SettingsPart tooLarge = new SettingsPart("fleet.toml", "#".repeat(SettingsPart.MAX_BYTES + 1));
        SettingsPart unknownKey = new SettingsPart("fleet.toml", "[fleet]\nwieght = 2\n");
        Approvals.verify(Stream.of(
                        detail(manifest, List.of()),
                        detail(manifest, List.of(new SettingsPart("fleet.toml", "[fleet]\nweight = 3\n"))),
                        detail(SettingsManifest.of(7, List.of(tooLarge)), List.of(tooLarge)),
                        detail(SettingsManifest.of(7, List.of(unknownKey)), List.of(unknownKey)),
                        malformed("{\"version\":0,\"parts\":[]}"),
                        malformed("{\"version\":\"7\",\"parts\":[]}"),
                        malformed("{\"version\":7,\"parts\":[]}"),
                        malformed("{\"version\":7,\"parts\":[{\"name\":\"../x\",\"sha256\":\"\"}]}"),
                        malformed("{\"version\":7,\"parts\":[{\"name\":\"x\",\"sha256\":\"AB\"}]}"),
                        malformed("version 7"))
                .collect(Collectors.joining("\n")));
    }

    private static String detail(SettingsManifest manifest, List<SettingsPart> parts) {
        return assertInstanceOf(Result.Failed.class, SettingsSnapshot.assemble(manifest, parts))
                .problem()
                .detail();
    }

    private static String malformed(String json) {
        return Assertions.assertThrows(FigspanException.class, () -> SettingsManifest.fromJson(json))
                .getMessage();
    }
}
