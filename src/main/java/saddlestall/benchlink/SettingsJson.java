package saddlestall.benchlink;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import saddlestall.Dispatcher.CallClass;
import saddlestall.Dispatcher.Costs;
import saddlestall.Dispatcher.DedupScope;
import saddlestall.Dispatcher.Idempotency;
import saddlestall.Dispatcher.Limits;
import saddlestall.Dispatcher.LoadPolicy;
import saddlestall.Dispatcher.LoadReportFormat;
import saddlestall.Dispatcher.ReportDelivery;
import saddlestall.Dispatcher.ReportField;
import saddlestall.Dispatcher.Rules;
import saddlestall.Dispatcher.Settings;
import saddlestall.Dispatcher.Tenant;
import saddlestall.Dispatcher.WeightKind;

/**
 * Reads the settings of a front end from JSON. Unknown keys are ignored; an absent number is 0, an
 * absent flag false and an absent list empty, but without {@code MostTries} the attempts of a call
 * are not limited. Times in JSON are in milliseconds.
 */
public final class SettingsJson {
  private SettingsJson() {}

  /**
   * Parses the settings.
   *
   * @throws RuntimeException if the text is not JSON, or a value has another type than expected
   */
  public static Settings read(String json) {
    JsonObject settings = JsonParser.parseString(json).getAsJsonObject();
    List<CallClass> classes = new ArrayList<>();
    for (JsonElement e : array(settings, "Classes")) {
      classes.add(callClass(e.getAsJsonObject()));
    }
    List<Tenant> tenants = new ArrayList<>();
    for (JsonElement e : array(settings, "Tenants")) {
      tenants.add(
          new Tenant(
              number(e.getAsJsonObject(), "Fraction"), number(e.getAsJsonObject(), "QuotaPerS")));
    }
    List<Double> kindMemoryMb = new ArrayList<>();
    for (JsonElement e : array(object(settings, "FamilyInfo"), "MachineMb")) {
      kindMemoryMb.add(e.getAsDouble());
    }
    return new Settings(
        (int) number(settings, "Index"),
        (int) number(settings, "Siblings"),
        (int) number(settings, "Zone"),
        List.copyOf(classes),
        List.copyOf(tenants),
        number(settings, "OverShareWorth"),
        text(settings, "WorthBy").equals("work"),
        text(settings, "MembershipMode").equals("subscribe"),
        weightKind(text(settings, "WeightKind")),
        List.copyOf(kindMemoryMb),
        limits(object(settings, "Limits")),
        rules(object(settings, "Rules")),
        loadPolicy(object(settings, "FamilyInfo")),
        loadReportFormat(object(settings, "Report")),
        costs(object(settings, "Costs")));
  }

  private static CallClass callClass(JsonObject callClass) {
    // An unknown word gets the strictest reading.
    Idempotency idempotency =
        switch (text(callClass, "Idempotency")) {
          case "idempotent" -> Idempotency.IDEMPOTENT;
          case "deduplicated" -> Idempotency.DEDUPLICATED;
          default -> Idempotency.NOT_IDEMPOTENT;
        };
    DedupScope dedupScope =
        switch (text(callClass, "Group")) {
          case "all" -> DedupScope.ALL;
          case "zone" -> DedupScope.ZONE;
          default -> DedupScope.CELL;
        };
    return new CallClass(
        micros(callClass, "Aim"),
        number(callClass, "AimStretch"),
        micros(callClass, "GiveUp"),
        idempotency,
        dedupScope,
        micros(callClass, "DedupWindow"),
        number(callClass, "Worth"),
        number(callClass, "LateWorth"),
        flag(callClass, "Stream"));
  }

  private static Limits limits(JsonObject limits) {
    return new Limits(
        flag(limits, "MayCancel"),
        flag(limits, "MayDuplicate"),
        flag(limits, "MayProbe"),
        flag(limits, "Peers"),
        flag(limits, "RetryAfter"),
        micros(limits, "MaxRetryAfter"),
        get(limits, "MostTries") == null ? Integer.MAX_VALUE : (int) number(limits, "MostTries"),
        micros(limits, "ConnectTimeout"));
  }

  private static Rules rules(JsonObject rules) {
    return new Rules(
        micros(rules, "AnswerSlack"),
        micros(rules, "AskEvery"),
        micros(rules, "DrainGrace"),
        micros(rules, "Cold"),
        number(rules, "ColdFrom"),
        micros(rules, "Fall"),
        number(rules, "FallMultiple"));
  }

  private static LoadPolicy loadPolicy(JsonObject familyInfo) {
    return new LoadPolicy(
        !text(familyInfo, "MissMode").equals("miss"),
        flag(familyInfo, "MayLoad"),
        micros(familyInfo, "LoadsWithin"),
        number(familyInfo, "FreeLoads"),
        number(familyInfo, "LoadsPerRequest"),
        micros(familyInfo, "StaysLoaded"),
        flag(familyInfo, "WarmNotes"),
        flag(familyInfo, "CountsAlike"),
        number(familyInfo, "IdlePrice"));
  }

  private static LoadReportFormat loadReportFormat(JsonObject report) {
    List<ReportField> fields = new ArrayList<>();
    for (JsonElement e : array(report, "Fields")) {
      fields.add(
          switch (e.getAsString()) {
            case "outstanding" -> ReportField.OUTSTANDING;
            case "backlog" -> ReportField.QUEUE;
            case "utilization" -> ReportField.UTILIZATION;
            case "recent_ms" -> ReportField.RECENT_MS;
            case "throughput" -> ReportField.THROUGHPUT;
            case "errors_per_s" -> ReportField.ERRORS;
            case "x0" -> ReportField.PINNED_MEMORY;
            case "x1" -> ReportField.LOADS;
            default -> ReportField.OTHER;
          });
    }
    ReportDelivery delivery =
        switch (text(report, "Via")) {
          case "piggyback" -> ReportDelivery.ANSWERS;
          case "pull" -> ReportDelivery.PROBES;
          default -> ReportDelivery.NONE;
        };
    return new LoadReportFormat(delivery, List.copyOf(fields));
  }

  private static Costs costs(JsonObject costs) {
    return new Costs(
        number(costs, "Probe"),
        number(costs, "CrossZone"),
        number(costs, "Waste"),
        number(costs, "LateFail"),
        number(costs, "Origin"),
        number(costs, "Peer"));
  }

  private static WeightKind weightKind(String word) {
    return switch (word) {
      case "nominal" -> WeightKind.NOMINAL;
      case "rough" -> WeightKind.ROUGH;
      case "live" -> WeightKind.LIVE;
      default -> WeightKind.SILENT;
    };
  }

  /** Returns a field, or null if it is absent or a JSON null. */
  private static JsonElement get(JsonObject object, String key) {
    JsonElement value = object.get(key);
    return value == null || value.isJsonNull() ? null : value;
  }

  private static JsonObject object(JsonObject parent, String key) {
    return get(parent, key) instanceof JsonObject child ? child : new JsonObject();
  }

  private static JsonArray array(JsonObject object, String key) {
    return get(object, key) instanceof JsonArray array ? array : new JsonArray();
  }

  private static double number(JsonObject object, String key) {
    JsonElement value = get(object, key);
    return value == null ? 0 : value.getAsDouble();
  }

  /** Returns a time in microseconds; the JSON holds milliseconds. */
  private static long micros(JsonObject object, String key) {
    return Math.round(number(object, key) * 1000);
  }

  private static boolean flag(JsonObject object, String key) {
    JsonElement value = get(object, key);
    return value != null && value.getAsBoolean();
  }

  private static String text(JsonObject object, String key) {
    JsonElement value = get(object, key);
    return value == null ? "" : value.getAsString();
  }
}
