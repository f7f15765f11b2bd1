package io.figspan.settings;

import io.figspan.core.error.FigspanException;
import io.figspan.core.util.NearestName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Merges parsed parts into one tree and runs the checks that span parts. Does not modify the parsed parts. */
final class SettingsTreeMerger {
    private final List<PartReader.ParsedPart> parts;
    private final List<FigspanException> faults = new ArrayList<>();
    private final SettingsNode root = new SettingsNode();

    SettingsTreeMerger(List<PartReader.ParsedPart> parts) {
        this.parts = parts;
    }

    SettingsTree run() {
        for (PartReader.ParsedPart part : parts) {
            mergeInto(root, part.root(), List.of(), part);
        }
        if (faults.isEmpty()) {
            checkMergedTree();
        }
        return new SettingsTree(root);
    }

    List<FigspanException> faults() {
        return faults;
    }

    // --- Merging

    private void mergeInto(SettingsNode target, SettingsNode source, List<String> names, PartReader.ParsedPart part) {
        for (Map.Entry<SettingKey, Object> entry : source.values().entrySet()) {
            SettingKey key = entry.getKey();
            Optional<SettingKey> other = conflicting(target, key);
            if (other.isPresent()) {
                addDuplicateTableFault(names, key, other.get(), part);
                return;
            }
        }
        source.values().forEach(target::put);
        for (Map.Entry<String, SettingsNode> child : source.children().entrySet()) {
            SettingsNode existing = target.children().get(child.getKey());
            if (existing == null) {
                target.putChild(child.getKey(), child.getValue());
                continue;
            }
            SettingsNode merged = existing.copy();
            mergeInto(merged, child.getValue(), append(names, child.getKey()), part);
            target.putChild(child.getKey(), merged);
        }
    }

    /**
     * A key of the node that is in the same TOML table as {@code key}. The roster and the models are separate tables.
     */
    private static Optional<SettingKey> conflicting(SettingsNode node, SettingKey key) {
        if (key.type().isTable()) {
            return node.get(key) == null ? Optional.empty() : Optional.of(key);
        }
        return node.values().keySet().stream()
                .filter(other -> !other.type().isTable())
                .findFirst();
    }

    private void addDuplicateTableFault(
            List<String> names, SettingKey key, SettingKey other, PartReader.ParsedPart part) {
        String table = key.type().isTable() ? TomlLocationIndex.join(path(names), key.path()) : path(names);
        String earlier = parts.stream()
                .filter(candidate -> nodeAt(candidate, names).get(other) != null)
                .map(candidate -> candidate.part().name())
                .findFirst()
                .orElse("another part");
        add(
                part,
                TomlLocationIndex.join(path(names), key.path()),
                "table [" + table + "] also stands in part " + earlier);
    }

    // --- Checks of the merged tree

    private void checkMergedTree() {
        Set<String> models = new SettingsTree(root)
                .models().stream().map(model -> model.model().value()).collect(Collectors.toSet());
        checkModel(root, List.of(), models);
        for (Map.Entry<String, SettingsNode> organisation : root.children().entrySet()) {
            if (faults.size() >= SettingsTreeReader.MAX_FAULTS) {
                return;
            }
            List<String> names = List.of(organisation.getKey());
            checkDeclared(organisation.getValue(), names);
            checkModel(organisation.getValue(), names, models);
            organisation
                    .getValue()
                    .children()
                    .forEach((service, node) -> checkModel(node, append(names, service), models));
        }
    }

    private void checkDeclared(SettingsNode organisation, List<String> names) {
        if (!organisation.values().isEmpty()) {
            return;
        }
        String name = names.get(0);
        List<String> others = root.children().keySet().stream()
                .filter(other -> !other.equals(name))
                .toList();
        String nearest = InvalidSettingException.suggestion(NearestName.suggest(name, others));
        PartReader.ParsedPart part = parts.stream()
                .filter(candidate -> candidate.root().children().containsKey(name))
                .findFirst()
                .orElseThrow();
        String detail =
                "organisation '" + name + "' is named but no part sets a key of [" + path(names) + "]" + nearest;
        add(part, path(names), detail);
    }

    private void checkModel(SettingsNode node, List<String> names, Collection<String> models) {
        if (!(node.get(SettingKey.MODEL) instanceof String model) || model.isEmpty() || models.contains(model)) {
            return;
        }
        String nearest = InvalidSettingException.suggestion(NearestName.suggest(model, models));
        PartReader.ParsedPart part = parts.stream()
                .filter(candidate -> nodeAt(candidate, names).get(SettingKey.MODEL) != null)
                .findFirst()
                .orElseThrow();
        String detail = "model '" + model + "' is not a table of [fleet.models]" + nearest;
        add(part, TomlLocationIndex.join(path(names), SettingKey.MODEL.path()), detail);
    }

    // --- Paths

    private static SettingsNode nodeAt(PartReader.ParsedPart part, List<String> names) {
        SettingsNode node = part.root();
        for (String name : names) {
            node = node.child(name);
        }
        return node;
    }

    /** Dotted path of the table of a node, such as {@code organisation.acme.service.kits}. */
    private static String path(List<String> names) {
        if (names.isEmpty()) {
            return "fleet";
        }
        List<String> containers = List.of("organisation", "service", "place");
        StringBuilder path = new StringBuilder();
        for (int i = 0; i < names.size(); i++) {
            path.append(i == 0 ? "" : ".").append(containers.get(i)).append('.').append(names.get(i));
        }
        return path.toString();
    }

    private static List<String> append(List<String> names, String name) {
        List<String> longer = new ArrayList<>(names);
        longer.add(name);
        return longer;
    }

    private void add(PartReader.ParsedPart part, String path, String detail) {
        if (faults.size() < SettingsTreeReader.MAX_FAULTS) {
            faults.add(part.fault(path, detail));
        }
    }
}
