package io.figspan.cli.settings;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.figspan.cli.Command;
import io.figspan.cli.CommonOptions;
import io.figspan.cli.Console;
import io.figspan.cli.ExitCode;
import io.figspan.core.error.FigspanException;
import io.figspan.settings.SettingsPart;
import io.figspan.settings.SettingsTree;
import io.figspan.settings.SettingsTreeReader;
import java.util.List;

/** {@code settings check}: reads part files as a host would and lists all faults. */
public final class CheckCommand implements Command {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

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
        if (common.json()) {
            console.json(toJson(parts, report));
        } else {
            report.faults().forEach(fault -> console.error(fault.getMessage()));
            report.tree().ifPresent(tree -> console.line(describe(parts, tree)));
        }
        return report.faults().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    }

    private static String describe(List<SettingsPart> parts, SettingsTree tree) {
        int services = tree.organisations().stream()
                .mapToInt(organisation -> tree.services(organisation).size())
                .sum();
        return "valid; parts: " + parts.size() + ", host seats: "
                + tree.roster().size() + ", models: " + tree.models().size() + ", organisations: "
                + tree.organisations().size() + ", services: " + services;
    }

    private static ObjectNode toJson(List<SettingsPart> parts, SettingsTreeReader.Report report) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put("valid", report.faults().isEmpty());
        for (SettingsPart part : parts) {
            document.withArray("parts")
                    .addObject()
                    .put("file", part.name())
                    .put("sizeBytes", part.sizeBytes())
                    .put("sha256", part.sha256());
        }
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
