package umberrun.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Machines taken out for work: what is planned, how far it is, and for whom it waits. */
@Command(
    name = "works",
    mixinStandardHelpOptions = true,
    description = "Machines taken out for work, in an order the front ends settle.",
    subcommands = {
      WorksCommand.PlanCommand.class,
      WorksCommand.Show.class,
      WorksCommand.Watch.class,
      WorksCommand.Why.class,
      WorksCommand.Pause.class,
      WorksCommand.Resume.class,
      WorksCommand.Cancel.class,
      WorksCommand.Urgent.class,
      WorksCommand.Skip.class,
      WorksCommand.Done.class,
      WorksCommand.Force.class,
      WorksCommand.Strike.class
    })
final class WorksCommand implements Runnable {
  private static final long WATCH_MILLIS = 1_000;

  @Spec private CommandSpec spec;

  @Override
  public void run() {
    spec.commandLine().usage(spec.commandLine().getOut());
  }

  /** What they have in common: any front end is asked, and its no is one line and status 1. */
  abstract static class WorksRequest implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Mixin private FleetCommand.Member member;

    @Option(names = "--json", description = "as JSON")
    private boolean json;

    @Option(
        names = "--by",
        paramLabel = "WHO",
        description = "who orders it, for the trail",
        defaultValue = "${env:USER:-somebody}")
    private String by;

    abstract JsonObject order() throws IOException;

    void print(PrintWriter out, JsonObject told) {
      WorksCommand.print(out, told);
    }

    boolean goesOn(JsonObject told) {
      return false;
    }

    static JsonObject order(String verb, String id) {
      JsonObject o = new JsonObject();
      o.addProperty("do", verb);
      o.addProperty("id", id);
      return o;
    }

    @Override
    public Integer call() throws InterruptedException {
      PrintWriter out = spec.commandLine().getOut();
      try {
        JsonObject o = order();
        o.addProperty("by", by);
        String words =
            Base64.getUrlEncoder().encodeToString(o.toString().getBytes(StandardCharsets.UTF_8));
        JsonObject told = member.call("works " + words);
        while (true) {
          if (json) {
            out.println(told);
          } else {
            print(out, told);
          }
          out.flush();
          if (!goesOn(told)) {
            return 0;
          }
          Thread.sleep(WATCH_MILLIS);
          told = member.call("works " + words);
        }
      } catch (IOException e) {
        return member.silent(spec, e);
      }
    }
  }

  /** One that names a plan, a machine or a front end. */
  abstract static class NamedRequest extends WorksRequest {
    @Parameters(
        index = "1",
        paramLabel = "NAME",
        description = "of a plan, a machine or a front end, as the command is about")
    private String name;

    private final String verb;

    NamedRequest(String verb) {
      this.verb = verb;
    }

    @Override
    JsonObject order() {
      return order(verb, name);
    }
  }

  @Command(
      name = "plan",
      mixinStandardHelpOptions = true,
      description = "Has machines taken out: by name, or all that match.")
  static final class PlanCommand extends WorksRequest {
    @Option(names = "--id", required = true, description = "name of the plan")
    private String id;

    @Option(names = "--why", required = true, description = "what for")
    private String why;

    @Option(names = "--machine", description = "a machine; may come more than once")
    private List<String> machines = new ArrayList<>();

    @Option(names = "--hall", description = "all of a hall")
    private String hall;

    @Option(names = "--kind", description = "all of a kind")
    private String kind;

    @Option(
        names = "--started-before",
        paramLabel = "MS",
        description = "all that started before a Unix time in milliseconds")
    private Long startedBefore;

    @Option(names = "--all", description = "all on the list")
    private boolean all;

    @Option(
        names = "--at-once",
        description = "may be missing at a time, over all plans",
        defaultValue = "1")
    private int atOnce;

    @Option(names = "--halls-at-once", description = "more than one hall may be touched at a time")
    private boolean hallsAtOnce;

    @Option(names = "--floor", description = "ready machines that must stay", defaultValue = "1")
    private int floor;

    @Option(names = "--hall-floor", description = "the same in each hall", defaultValue = "0")
    private int hallFloor;

    @Option(
        names = "--limit",
        paramLabel = "S",
        description = "for each stage of a machine",
        defaultValue = "900")
    private long limit;

    @Option(
        names = "--late",
        description = "what follows where it takes longer: wait, skip or hold",
        defaultValue = "wait")
    private String late;

    @Option(
        names = "--by-hand",
        description = "goes on only by an operator's word once something has stopped it")
    private boolean byHand;

    @Option(names = "--urgent", description = "before other plans")
    private boolean urgent;

    @Option(names = "--dry-run", description = "shows order and floor, and changes nothing")
    private boolean dryRun;

    @Override
    JsonObject order() throws IOException {
      if (!List.of("wait", "skip", "hold").contains(late)) {
        throw new IOException("--late is wait, skip or hold");
      }
      JsonObject o = order("plan", id);
      o.addProperty("why", why);
      if (!machines.isEmpty()) {
        JsonArray names = new JsonArray();
        machines.forEach(names::add);
        o.add("machines", names);
      }
      if (hall != null) {
        o.addProperty("hall", hall);
      }
      if (kind != null) {
        o.addProperty("kind", kind);
      }
      if (startedBefore != null) {
        o.addProperty("started_before_ms", startedBefore);
      }
      if (all) {
        o.addProperty("all", true);
      }
      o.addProperty("at_once", atOnce);
      o.addProperty("halls_at_once", hallsAtOnce);
      o.addProperty("floor", floor);
      o.addProperty("hall_floor", hallFloor);
      o.addProperty("limit_s", limit);
      o.addProperty("late", late);
      o.addProperty("by_hand", byHand);
      o.addProperty("urgent", urgent);
      o.addProperty("dry_run", dryRun);
      return o;
    }

    @Override
    void print(PrintWriter out, JsonObject told) {
      if (!told.has("order")) {
        super.print(out, told);
        return;
      }
      out.printf(
          "%d ready now, %d at the least meanwhile, %d rounds%n",
          told.get("ready").getAsInt(),
          told.get("least_ready").getAsInt(),
          told.get("rounds").getAsInt());
      for (JsonElement e : told.getAsJsonArray("order")) {
        JsonObject p = e.getAsJsonObject();
        out.printf(
            "%-20s %s %s%n",
            p.get("machine").getAsString(),
            p.get("may").getAsBoolean() ? "goes" : "waits",
            joined(p.get("reasons")));
      }
    }
  }

  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "Plans, machines, and for whom they wait; the trail at the end.")
  static final class Show extends WorksRequest {
    @Override
    JsonObject order() {
      return order("show", "");
    }
  }

  @Command(
      name = "watch",
      mixinStandardHelpOptions = true,
      description = "The same each second until all plans are over.")
  static final class Watch extends WorksRequest {
    @Override
    JsonObject order() {
      return order("show", "");
    }

    @Override
    boolean goesOn(JsonObject told) {
      for (JsonElement p : told.getAsJsonObject("ledger").getAsJsonArray("plans")) {
        String state = p.getAsJsonObject().get("state").getAsString();
        if (!state.equals("ENDED") && !state.equals("CANCELLED")) {
          return true;
        }
      }
      return false;
    }
  }

  @Command(
      name = "why",
      mixinStandardHelpOptions = true,
      description = "Why a machine waits, or is where it is.")
  static final class Why extends NamedRequest {
    Why() {
      super("why");
    }

    @Override
    void print(PrintWriter out, JsonObject told) {
      JsonObject m = told.getAsJsonObject("machine");
      out.printf(
          "%s of plan %s is %s%s%n",
          text(m, "name"),
          text(m, "plan"),
          text(m, "stage").toLowerCase(Locale.ROOT),
          text(m, "note").isEmpty() ? "" : ": " + text(m, "note"));
      if (told.has("place")) {
        out.printf("place %d: %s%n", told.get("place").getAsInt(), joined(told.get("reasons")));
      }
    }
  }

  @Command(
      name = "pause",
      mixinStandardHelpOptions = true,
      description = "Nobody new of a plan goes.")
  static final class Pause extends NamedRequest {
    Pause() {
      super("pause");
    }
  }

  @Command(
      name = "resume",
      mixinStandardHelpOptions = true,
      description = "A plan that was paused or stopped goes on.")
  static final class Resume extends NamedRequest {
    Resume() {
      super("resume");
    }
  }

  @Command(
      name = "cancel",
      mixinStandardHelpOptions = true,
      description = "Ends a plan; what is free for work stays out until 'done'.")
  static final class Cancel extends NamedRequest {
    Cancel() {
      super("cancel");
    }
  }

  @Command(
      name = "urgent",
      mixinStandardHelpOptions = true,
      description = "A plan's machines go before those of others.")
  static final class Urgent extends NamedRequest {
    Urgent() {
      super("urgent");
    }
  }

  @Command(name = "skip", mixinStandardHelpOptions = true, description = "A machine is left out.")
  static final class Skip extends NamedRequest {
    Skip() {
      super("skip");
    }
  }

  @Command(
      name = "done",
      mixinStandardHelpOptions = true,
      description = "The work on a machine has ended: it may serve.")
  static final class Done extends NamedRequest {
    Done() {
      super("done");
    }
  }

  @Command(
      name = "force",
      mixinStandardHelpOptions = true,
      description = "One front end's silence counts as a yes for a machine.")
  static final class Force extends NamedRequest {
    @Parameters(
        index = "2",
        paramLabel = "FRONT-END",
        description = "whose silence: make sure that it sends nothing there")
    private String silent;

    Force() {
      super("force");
    }

    @Override
    JsonObject order() {
      JsonObject o = super.order();
      o.addProperty("member", silent);
      return o;
    }
  }

  @Command(
      name = "strike",
      mixinStandardHelpOptions = true,
      description = "Takes a front end off the roll that will not come back.")
  static final class Strike extends NamedRequest {
    Strike() {
      super("strike");
    }
  }

  private static String text(JsonObject o, String key) {
    return o.has(key) && !o.get(key).isJsonNull() ? o.get(key).getAsString() : "";
  }

  private static String joined(JsonElement list) {
    List<String> all = new ArrayList<>();
    list.getAsJsonArray().forEach(e -> all.add(e.getAsString()));
    return String.join("; ", all);
  }

  private static void print(PrintWriter out, JsonObject told) {
    JsonObject l = told.getAsJsonObject("ledger");
    out.printf(
        "version %d as %s knows it%s, %d front ends on the roll%s%n",
        told.get("version").getAsLong(),
        text(told, "member"),
        told.get("drives").getAsBoolean() ? ", which drives" : "",
        l.getAsJsonArray("roll").size(),
        told.get("on_roll").getAsBoolean() ? "" : ", NOT this one");
    for (JsonElement e : l.getAsJsonArray("plans")) {
      JsonObject p = e.getAsJsonObject();
      out.printf(
          "plan %s %s%s: %s, by %s%n",
          text(p, "id"),
          text(p, "state").toLowerCase(Locale.ROOT),
          text(p, "reason").isEmpty() ? "" : " (" + text(p, "reason") + ")",
          text(p, "why"),
          text(p, "by"));
      for (JsonElement f : l.getAsJsonArray("machines")) {
        JsonObject m = f.getAsJsonObject();
        if (text(m, "plan").equals(text(p, "id"))) {
          String name = text(m, "name");
          JsonElement waits =
              told.has("waits_for") ? told.getAsJsonObject("waits_for").get(name) : null;
          out.printf(
              "  %-20s %-8s%s%s%s%s%n",
              name,
              text(m, "stage").toLowerCase(Locale.ROOT),
              m.get("overdue").getAsBoolean() ? " OVERDUE" : "",
              m.getAsJsonArray("forced").isEmpty() ? "" : " forced for " + joined(m.get("forced")),
              waits == null || waits.getAsJsonArray().isEmpty()
                  ? ""
                  : " waits for " + joined(waits),
              text(m, "note").isEmpty() ? "" : "  " + text(m, "note"));
        }
      }
    }
    JsonArray trail = l.getAsJsonArray("trail");
    for (int i = Math.max(0, trail.size() - 8); i < trail.size(); i++) {
      JsonObject t = trail.get(i).getAsJsonObject();
      out.printf("%6d %-10s %s%n", t.get("step").getAsLong(), text(t, "who"), text(t, "what"));
    }
  }
}
