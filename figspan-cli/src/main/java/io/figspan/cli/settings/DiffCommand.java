package io.figspan.cli.settings;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.figspan.cli.Command;
import io.figspan.cli.CommonOptions;
import io.figspan.cli.Console;
import io.figspan.cli.ExitCode;
import io.figspan.cli.TextTable;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.settings.SettingType;
import io.figspan.settings.SettingsDiff;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** {@code settings diff}: lists the keys that two trees set differently. */
public final class DiffCommand implements Command {
    private static final String UNSET = "-";

    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @Parameter(description = "OLD NEW: two part files, or two directories of *.toml files", required = true)
    private List<String> trees;

    @Override
    public String name() {
        return "settings diff";
    }

    @Override
    public String summary() {
        return "List the keys that two settings trees set differently.";
    }

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public Set<ExitCode> exitCodes() {
        return EnumSet.of(ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE, ExitCode.DIFFERENT);
    }

    @Override
    public ExitCode run(Console console) {
        if (trees.size() != 2) {
            throw new FigspanException(
                    ProblemKind.USAGE, "expected OLD and NEW, found " + trees.size(), Location.of("command line"));
        }
        List<SettingsDiff.Change> changes =
                SettingsDiff.between(PartFiles.readTree(trees.subList(0, 1)), PartFiles.readTree(trees.subList(1, 2)));
        if (common.json()) {
            console.json(toJson(changes));
        } else if (!changes.isEmpty()) {
            toTable(changes).print(console);
        }
        return changes.isEmpty() ? ExitCode.OK : ExitCode.DIFFERENT;
    }

    private static TextTable toTable(List<SettingsDiff.Change> changes) {
        TextTable table = new TextTable("TABLE", "KEY", "OLD", "NEW");
        for (SettingsDiff.Change change : changes) {
            boolean isSecret = change.key().type() == SettingType.SECRET;
            String after = shown(change.after(), UNSET) + (isSecret ? " (changed)" : "");
            table.row(change.table(), change.key().path(), shown(change.before(), UNSET), after);
        }
        return table;
    }

    private static ObjectNode toJson(List<SettingsDiff.Change> changes) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.putArray("changes");
        for (SettingsDiff.Change change : changes) {
            document.withArray("changes")
                    .addObject()
                    .put("table", change.table())
                    .put("key", change.key().path())
                    .put("old", shown(change.before(), null))
                    .put("new", shown(change.after(), null));
        }
        return document;
    }

    private static String shown(Optional<Object> value, String absent) {
        return value.map(Object::toString).orElse(absent);
    }
}
