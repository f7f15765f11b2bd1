package io.figspan.settings;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import java.util.List;

/** The effective settings for one node of the tree: each key's value after inheritance and the level that sets it. */
public final class ResolvedSettings {
    private final SettingsNode fleet;
    private final SettingsNode organisation;
    private final SettingsNode service;
    private final SettingsNode place;

    ResolvedSettings(SettingsNode fleet, SettingsNode organisation, SettingsNode service, SettingsNode place) {
        this.fleet = fleet;
        this.organisation = organisation;
        this.service = service;
        this.place = place;
    }

    /** The most specific level that sets the key, or {@link SettingsLevel#DEFAULT}. */
    public SettingsLevel level(SettingKey key) {
        if (place.get(key) != null) {
            return SettingsLevel.PLACE;
        }
        if (service.get(key) != null) {
            return SettingsLevel.SERVICE;
        }
        if (organisation.get(key) != null) {
            return SettingsLevel.ORGANISATION;
        }
        return fleet.get(key) != null ? SettingsLevel.FLEET : SettingsLevel.DEFAULT;
    }

    /** The value in the Java type that {@link SettingType} documents. */
    public Object value(SettingKey key) {
        return switch (level(key)) {
            case PLACE -> place.get(key);
            case SERVICE -> service.get(key);
            case ORGANISATION -> organisation.get(key);
            case FLEET -> fleet.get(key);
            case DEFAULT -> key.defaultValue();
        };
    }

    /** Value of a key of type {@link SettingType#TEXT} or {@link SettingType#CHOICE}. */
    public String text(SettingKey key) {
        return typed(key, String.class);
    }

    /** Value of a key of type {@link SettingType#INTEGER}. */
    public long integer(SettingKey key) {
        return typed(key, Long.class);
    }

    /** Value of a key of type {@link SettingType#NUMBER}. */
    public double number(SettingKey key) {
        return typed(key, Double.class);
    }

    /** Value of a key of type {@link SettingType#FLAG}. */
    public boolean flag(SettingKey key) {
        return typed(key, Boolean.class);
    }

    /** Value of a key of type {@link SettingType#SECRET}. */
    public Secret secret(SettingKey key) {
        return typed(key, Secret.class);
    }

    /** Roster entries of the entry hosts, ordered by host id. */
    public List<RosterEntry> roster() {
        return listOf(SettingKey.ROSTER_TABLE, RosterEntry.class);
    }

    /** Models of the fleet, ordered by model id. */
    public List<ModelSetting> models() {
        return listOf(SettingKey.MODELS_TABLE, ModelSetting.class);
    }

    private <T> List<T> listOf(SettingKey key, Class<T> elementType) {
        if (!(value(key) instanceof List<?> elements)) {
            throw wrongType(key, "a list");
        }
        return elements.stream().map(elementType::cast).toList();
    }

    private <T> T typed(SettingKey key, Class<T> type) {
        Object value = value(key);
        if (!type.isInstance(value)) {
            throw wrongType(key, type.getSimpleName());
        }
        return type.cast(value);
    }

    private static FigspanException wrongType(SettingKey key, String readAs) {
        return new FigspanException(
                ProblemKind.INTERNAL, "key '" + key.path() + "' was read as " + readAs, Location.of("settings"));
    }
}
