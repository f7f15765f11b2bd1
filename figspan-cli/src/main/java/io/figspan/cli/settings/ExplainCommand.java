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
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.PlaceId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.util.NearestName;
import io.figspan.settings.ResolvedSettings;
import io.figspan.settings.SettingKey;
import io.figspan.settings.SettingType;
import io.figspan.settings.SettingsTree;
import java.util.Collection;
import java.util.List;

/** {@code settings explain}: shows each value at a place of the tree and the level that it comes from. */
public final class ExplainCommand implements Command {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @Parameter(
            names = "--file",
            description = "Part file, or directory of *.toml files; may be repeated",
            required = true)
    private List<String> files;

    @Parameter(description = "ORGANISATION[/SERVICE[/PLACE]]", required = true)
    private List<String> places;

    @Override
    public String name() {
        return "settings explain";
    }

    @Override
    public String summary() {
        return "Show each setting of a place in the tree and the level that it comes from.";
    }

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public ExitCode run(Console console) {
        if (places.size() != 1) {
            throw usage("expected one ORGANISATION/SERVICE/PLACE, found " + places.size());
        }
        String place = places.get(0);
        ResolvedSettings settings = resolve(PartFiles.readTree(files), place.split("/", -1));
        if (common.json()) {
            console.json(toJson(place, settings));
        } else {
            toTable(settings).print(console);
        }
        return ExitCode.OK;
    }

    /** A place may be one that the tree does not name, because any availability zone inherits from its service. */
    private static ResolvedSettings resolve(SettingsTree tree, String[] names) {
        if (names.length > 3) {
            throw usage("expected ORGANISATION/SERVICE/PLACE, found " + names.length + " names");
        }
        OrganisationId organisation = OrganisationId.of(names[0]);
        if (!tree.hasOrganisation(organisation)) {
            throw unknown("organisation", names[0], tree.organisations());
        }
        if (names.length == 1) {
            return tree.resolve(organisation);
        }
        ServiceId service = ServiceId.of(names[1]);
        if (!tree.hasService(organisation, service)) {
            throw unknown("service", names[1], tree.services(organisation));
        }
        return names.length == 2
                ? tree.resolve(organisation, service)
                : tree.resolve(organisation, service, PlaceId.of(names[2]));
    }

    private static TextTable toTable(ResolvedSettings settings) {
        TextTable table = new TextTable("KEY", "VALUE", "UNIT", "FROM");
        for (SettingKey key : SettingKey.values()) {
            String unit = key.type() == SettingType.SECRET ? "" : key.unit();
            table.row(
                    key.path(),
                    settings.value(key).toString(),
                    unit,
                    settings.level(key).wireName());
        }
        return table;
    }

    private static ObjectNode toJson(String place, ResolvedSettings settings) {
        ObjectNode document = JsonNodeFactory.instance.objectNode().put("place", place);
        for (SettingKey key : SettingKey.values()) {
            ObjectNode entry = document.withArray("settings").addObject().put("key", key.path());
            switch (key.type()) {
                case INTEGER -> entry.put("value", settings.integer(key));
                case NUMBER -> entry.put("value", settings.number(key));
                case FLAG -> entry.put("value", settings.flag(key));
                default -> entry.put("value", settings.value(key).toString());
            }
            entry.put("unit", key.unit()).put("from", settings.level(key).wireName());
        }
        return document;
    }

    private static FigspanException unknown(String what, String name, Collection<?> known) {
        String nearest = NearestName.suggest(
                        name, known.stream().map(Object::toString).toList())
                .map(near -> "; the nearest is '" + near + "'")
                .orElse("");
        return usage("the tree has no " + what + " '" + name + "'" + nearest);
    }

    private static FigspanException usage(String detail) {
        return new FigspanException(ProblemKind.USAGE, detail, Location.of("command line"));
    }
}
