package io.figspan.cli.settings;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import io.figspan.cli.Command;
import io.figspan.cli.CommonOptions;
import io.figspan.cli.Console;
import io.figspan.cli.ExitCode;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.settings.SettingsManifest;
import io.figspan.settings.SettingsPart;
import io.figspan.settings.SettingsTree;
import io.figspan.settings.SettingsTreeReader;
import java.util.List;
import java.util.Optional;

/** {@code settings check}: reads part files as a host would and lists all faults. */
public final class CheckCommand implements Command {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @Parameter(
            names = "--manifest",
            description = "Print the manifest that publishes the files as this version, if they are valid")
    private Long manifestVersion;

    @Parameter(description = "FILE...: part files, or directories of *.toml files", required = true)
    private List<String> files;

    @Override
    public String name() {
        return "settings check";
    }

    @Override
    public String summary() {
        return "Check part files of the settings tree and list all faults.";
    }

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public ExitCode run(Console console) {
        List<SettingsPart> parts = PartFiles.read(files);
        SettingsTreeReader.Report report = SettingsTreeReader.check(parts);
        Optional<SettingsManifest> manifest = report.tree().flatMap(tree -> toManifest(parts));
        if (common.json()) {
            console.json(toJson(parts, report, manifest));
        } else {
            report.faults().forEach(fault -> console.error(fault.getMessage()));
            report.tree()
                    .ifPresent(tree -> console.line(
                            manifest.map(SettingsManifest::toJson).orElseGet(() -> describe(parts, tree))));
        }
        return report.faults().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    }

    private Optional<SettingsManifest> toManifest(List<SettingsPart> parts) {
        if (manifestVersion == null) {
            return Optional.empty();
        }
        if (manifestVersion < 1) {
            throw new FigspanException(
                    ProblemKind.USAGE,
                    "--manifest: " + manifestVersion + " is not above 0",
                    Location.of("command line"));
        }
        List<SettingsPart> named = parts.stream().map(PartFiles::withFileName).toList();
        return Optional.of(SettingsManifest.of(manifestVersion, named));
    }

    private static String describe(List<SettingsPart> parts, SettingsTree tree) {
        int services = tree.organisations().stream()
                .mapToInt(organisation -> tree.services(organisation).size())
                .sum();
        return "valid; parts: " + parts.size() + ", host seats: "
                + tree.roster().size() + ", models: " + tree.models().size() + ", organisations: "
                + tree.organisations().size() + ", services: " + services;
    }

    private static ObjectNode toJson(
            List<SettingsPart> parts, SettingsTreeReader.Report report, Optional<SettingsManifest> manifest) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put("valid", report.faults().isEmpty());
        for (SettingsPart part : parts) {
            document.withArray("parts")
                    .addObject()
                    .put("file", part.name())
                    .put("sizeBytes", part.sizeBytes())
                    .put("sha256", part.sha256());
        }
        manifest.ifPresent(value -> document.putRawValue("manifest", new RawValue(value.toJson())));
        document.putArray("faults");
        for (FigspanException fault : report.faults()) {
            document.withArray("faults")
                    .addObject()
                    .put("file", fault.location().source())
                    .put("line", fault.location().line())
                    .put("column", fault.location().column())
                    .put("detail", fault.detail())
                    .put("remedy", fault.kind().remedy());
        }
        return document;
    }
}
