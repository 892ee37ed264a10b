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

/** Reads an instance's settings from the JSON of its start message. Unknown keys are skipped. */
public final class SettingsJson {
  private SettingsJson() {}

  public static Settings read(String json) {
    JsonObject o = JsonParser.parseString(json).getAsJsonObject();
    List<CallClass> classes = new ArrayList<>();
    for (JsonElement e : array(o, "Classes")) {
      classes.add(callClass(e.getAsJsonObject()));
    }
    List<Tenant> tenants = new ArrayList<>();
    for (JsonElement e : array(o, "Tenants")) {
      tenants.add(
          new Tenant(
              number(e.getAsJsonObject(), "Fraction"), number(e.getAsJsonObject(), "QuotaPerS")));
    }
    List<Double> memory = new ArrayList<>();
    for (JsonElement e : array(object(o, "FamilyInfo"), "MachineMb")) {
      memory.add(e.getAsDouble());
    }
    return new Settings(
        (int) number(o, "Index"),
        (int) number(o, "Siblings"),
        (int) number(o, "Zone"),
        List.copyOf(classes),
        List.copyOf(tenants),
        number(o, "OverShareWorth"),
        text(o, "WorthBy").equals("work"),
        text(o, "MembershipMode").equals("subscribe"),
        weightKind(text(o, "WeightKind")),
        List.copyOf(memory),
        limits(object(o, "Limits")),
        rules(object(o, "Rules")),
        loads(object(o, "FamilyInfo")),
        report(object(o, "Report")),
        costs(object(o, "Costs")));
  }

  private static CallClass callClass(JsonObject c) {
    Idempotency effect =
        switch (text(c, "Idempotency")) {
          case "idempotent" -> Idempotency.IDEMPOTENT;
          case "deduplicated" -> Idempotency.DEDUPLICATED;
          default -> Idempotency.NOT_IDEMPOTENT; // an unknown word gets the strictest reading
        };
    DedupScope group =
        switch (text(c, "Group")) {
          case "all" -> DedupScope.ALL;
          case "zone" -> DedupScope.ZONE;
          default -> DedupScope.CELL;
        };
    return new CallClass(
        micros(c, "Aim"),
        number(c, "AimStretch"),
        micros(c, "GiveUp"),
        effect,
        group,
        micros(c, "DedupWindow"),
        number(c, "Worth"),
        number(c, "LateWorth"),
        flag(c, "Stream"));
  }

  private static Limits limits(JsonObject l) {
    return new Limits(
        flag(l, "MayCancel"),
        flag(l, "MayDuplicate"),
        flag(l, "MayProbe"),
        flag(l, "Peers"),
        flag(l, "RetryAfter"),
        micros(l, "MaxRetryAfter"),
        get(l, "MostTries") == null ? Integer.MAX_VALUE : (int) number(l, "MostTries"),
        micros(l, "ConnectTimeout"));
  }

  private static Rules rules(JsonObject r) {
    return new Rules(
        micros(r, "AnswerSlack"),
        micros(r, "AskEvery"),
        micros(r, "DrainGrace"),
        micros(r, "Cold"),
        number(r, "ColdFrom"),
        micros(r, "Fall"),
        number(r, "FallMultiple"));
  }

  private static LoadPolicy loads(JsonObject f) {
    return new LoadPolicy(
        !text(f, "MissMode").equals("miss"),
        flag(f, "MayLoad"),
        micros(f, "LoadsWithin"),
        number(f, "FreeLoads"),
        number(f, "LoadsPerRequest"),
        micros(f, "StaysLoaded"),
        flag(f, "WarmNotes"),
        flag(f, "CountsAlike"),
        number(f, "IdlePrice"));
  }

  private static LoadReportFormat report(JsonObject r) {
    List<ReportField> fields = new ArrayList<>();
    for (JsonElement e : array(r, "Fields")) {
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
    ReportDelivery via =
        switch (text(r, "Via")) {
          case "piggyback" -> ReportDelivery.ANSWERS;
          case "pull" -> ReportDelivery.PROBES;
          default -> ReportDelivery.NONE;
        };
    return new LoadReportFormat(via, List.copyOf(fields));
  }

  private static Costs costs(JsonObject c) {
    return new Costs(
        number(c, "Probe"),
        number(c, "CrossZone"),
        number(c, "Waste"),
        number(c, "LateFail"),
        number(c, "Origin"),
        number(c, "Peer"));
  }

  private static WeightKind weightKind(String word) {
    return switch (word) {
      case "nominal" -> WeightKind.NOMINAL;
      case "rough" -> WeightKind.ROUGH;
      case "live" -> WeightKind.LIVE;
      default -> WeightKind.SILENT;
    };
  }

  private static JsonElement get(JsonObject o, String key) {
    JsonElement e = o.get(key);
    return e == null || e.isJsonNull() ? null : e;
  }

  private static JsonObject object(JsonObject o, String key) {
    return get(o, key) instanceof JsonObject x ? x : new JsonObject();
  }

  private static JsonArray array(JsonObject o, String key) {
    return get(o, key) instanceof JsonArray x ? x : new JsonArray();
  }

  private static double number(JsonObject o, String key) {
    JsonElement e = get(o, key);
    return e == null ? 0 : e.getAsDouble();
  }

  private static long micros(JsonObject o, String key) {
    return Math.round(number(o, key) * 1000);
  }

  private static boolean flag(JsonObject o, String key) {
    JsonElement e = get(o, key);
    return e != null && e.getAsBoolean();
  }

  private static String text(JsonObject o, String key) {
    JsonElement e = get(o, key);
    return e == null ? "" : e.getAsString();
  }
}
