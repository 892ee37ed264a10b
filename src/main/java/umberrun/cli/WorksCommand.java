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

/**
 * The {@code works} commands, which plan the maintenance of worker machines, show its progress and
 * control it.
 */
@Command(
    name = "works",
    mixinStandardHelpOptions = true,
    description =
        "Takes machines out of service for maintenance, in an order that the front ends agree on.",
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
  private static final long WATCH_INTERVAL_MILLIS = 1_000;

  /** How many of the latest entries of the audit trail are printed. */
  private static final int PRINTED_TRAIL_ENTRIES = 8;

  @Spec private CommandSpec spec;

  @Override
  public void run() {
    spec.commandLine().usage(spec.commandLine().getOut());
  }

  /**
   * A command that sends one request to a front end; any of them will do. If the request fails, it
   * prints one line and ends with status 1.
   */
  abstract static class WorksRequest implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Mixin private FleetCommand.Member member;

    @Option(names = "--json", description = "print the answer as JSON")
    private boolean json;

    @Option(
        names = "--by",
        paramLabel = "WHO",
        description = "who gives the order, as recorded in the trail",
        defaultValue = "${env:USER:-somebody}")
    private String by;

    /** The request to send, without the name of who gives the order. */
    abstract JsonObject request() throws IOException;

    /** Prints an answer for people to read. */
    void print(PrintWriter out, JsonObject answer) {
      WorksCommand.print(out, answer);
    }

    /** Whether to repeat the request, after an interval, once this answer has been printed. */
    boolean isRepeated(JsonObject answer) {
      return false;
    }

    static JsonObject request(String verb, String id) {
      JsonObject request = new JsonObject();
      request.addProperty("do", verb);
      request.addProperty("id", id);
      return request;
    }

    @Override
    public Integer call() throws InterruptedException {
      PrintWriter out = spec.commandLine().getOut();
      try {
        JsonObject request = request();
        request.addProperty("by", by);
        // In Base64, as the arguments of a call may not contain spaces.
        String encoded =
            Base64.getUrlEncoder()
                .encodeToString(request.toString().getBytes(StandardCharsets.UTF_8));
        JsonObject answer = member.call("works " + encoded);
        while (true) {
          if (json) {
            out.println(answer);
          } else {
            print(out, answer);
          }
          out.flush();
          if (!isRepeated(answer)) {
            return 0;
          }
          Thread.sleep(WATCH_INTERVAL_MILLIS);
          answer = member.call("works " + encoded);
        }
      } catch (IOException e) {
        return member.reportFailure(spec, e);
      }
    }
  }

  /** A request whose only argument is the name of a plan, a machine or a front end. */
  abstract static class NamedRequest extends WorksRequest {
    @Parameters(
        index = "1",
        paramLabel = "NAME",
        description = "name of the plan, machine or front end that the command applies to")
    private String name;

    private final String verb;

    NamedRequest(String verb) {
      this.verb = verb;
    }

    @Override
    JsonObject request() {
      return request(verb, name);
    }
  }

  /** Creates a plan, or shows what it would do. */
  @Command(
      name = "plan",
      mixinStandardHelpOptions = true,
      description = "Plans to take machines out of service: by name, or all that match.")
  static final class PlanCommand extends WorksRequest {
    @Option(names = "--id", required = true, description = "name of the plan")
    private String id;

    @Option(names = "--why", required = true, description = "reason for the work")
    private String why;

    @Option(names = "--machine", description = "name of a machine; may be given more than once")
    private List<String> machines = new ArrayList<>();

    @Option(names = "--hall", description = "all machines of this hall")
    private String hall;

    @Option(names = "--kind", description = "all machines of this kind")
    private String kind;

    @Option(
        names = "--started-before",
        paramLabel = "MS",
        description = "all machines that started before this Unix time in milliseconds")
    private Long startedBefore;

    @Option(names = "--all", description = "all machines on the list of workers")
    private boolean all;

    @Option(
        names = "--at-once",
        description = "how many machines may be out at the same time, over all plans",
        defaultValue = "1")
    private int atOnce;

    @Option(
        names = "--halls-at-once",
        description = "allow machines of more than one hall to be out at the same time")
    private boolean hallsAtOnce;

    @Option(
        names = "--floor",
        description = "how many machines must stay ready",
        defaultValue = "1")
    private int floor;

    @Option(
        names = "--hall-floor",
        description = "how many machines must stay ready in each hall",
        defaultValue = "0")
    private int hallFloor;

    @Option(
        names = "--limit",
        paramLabel = "S",
        description = "time limit of each stage of a machine, in seconds",
        defaultValue = "900")
    private long limit;

    @Option(
        names = "--late",
        description = "what to do when a stage exceeds the limit: wait, skip or hold",
        defaultValue = "wait")
    private String late;

    @Option(
        names = "--by-hand",
        description =
            "once something has stopped the plan, continue it only when an operator resumes it")
    private boolean byHand;

    @Option(
        names = "--urgent",
        description = "take the machines of this plan before those of other plans")
    private boolean urgent;

    @Option(
        names = "--dry-run",
        description = "show the order and the machines that stay ready, without changing anything")
    private boolean dryRun;

    @Override
    JsonObject request() throws IOException {
      if (!List.of("wait", "skip", "hold").contains(late)) {
        throw new IOException("--late is wait, skip or hold");
      }
      JsonObject request = request("plan", id);
      request.addProperty("why", why);
      if (!machines.isEmpty()) {
        JsonArray names = new JsonArray();
        machines.forEach(names::add);
        request.add("machines", names);
      }
      if (hall != null) {
        request.addProperty("hall", hall);
      }
      if (kind != null) {
        request.addProperty("kind", kind);
      }
      if (startedBefore != null) {
        request.addProperty("started_before_ms", startedBefore);
      }
      if (all) {
        request.addProperty("all", true);
      }
      request.addProperty("at_once", atOnce);
      request.addProperty("halls_at_once", hallsAtOnce);
      request.addProperty("floor", floor);
      request.addProperty("hall_floor", hallFloor);
      request.addProperty("limit_s", limit);
      request.addProperty("late", late);
      request.addProperty("by_hand", byHand);
      request.addProperty("urgent", urgent);
      request.addProperty("dry_run", dryRun);
      return request;
    }

    @Override
    void print(PrintWriter out, JsonObject answer) {
      if (!answer.has("order")) {
        super.print(out, answer);
        return;
      }
      out.printf(
          "%d ready now, %d at the least meanwhile, %d rounds%n",
          answer.get("ready").getAsInt(),
          answer.get("least_ready").getAsInt(),
          answer.get("rounds").getAsInt());
      for (JsonElement element : answer.getAsJsonArray("order")) {
        JsonObject place = element.getAsJsonObject();
        out.printf(
            "%-20s %s %s%n",
            place.get("machine").getAsString(),
            place.get("may").getAsBoolean() ? "goes" : "waits",
            joined(place.get("reasons")));
      }
    }
  }

  /** Prints the plans, the state of their machines and the end of the audit trail. */
  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description =
          "Shows the plans, their machines, the front ends that these wait for, and the latest entries of the trail.")
  static final class Show extends WorksRequest {
    @Override
    JsonObject request() {
      return request("show", "");
    }
  }

  /** Repeats what {@code show} prints until no plan is open. */
  @Command(
      name = "watch",
      mixinStandardHelpOptions = true,
      description = "Shows the same every second until all plans are over.")
  static final class Watch extends WorksRequest {
    @Override
    JsonObject request() {
      return request("show", "");
    }

    @Override
    boolean isRepeated(JsonObject answer) {
      for (JsonElement plan : answer.getAsJsonObject("ledger").getAsJsonArray("plans")) {
        String state = plan.getAsJsonObject().get("state").getAsString();
        if (!state.equals("ENDED") && !state.equals("CANCELLED")) {
          return true;
        }
      }
      return false;
    }
  }

  /** Prints the stage of a machine, and what it waits for. */
  @Command(
      name = "why",
      mixinStandardHelpOptions = true,
      description = "Shows why a machine waits or is in its current stage.")
  static final class Why extends NamedRequest {
    Why() {
      super("why");
    }

    @Override
    void print(PrintWriter out, JsonObject answer) {
      JsonObject machine = answer.getAsJsonObject("machine");
      out.printf(
          "%s of plan %s is %s%s%n",
          text(machine, "name"),
          text(machine, "plan"),
          text(machine, "stage").toLowerCase(Locale.ROOT),
          text(machine, "note").isEmpty() ? "" : ": " + text(machine, "note"));
      if (answer.has("place")) {
        out.printf("place %d: %s%n", answer.get("place").getAsInt(), joined(answer.get("reasons")));
      }
    }
  }

  /** Pauses a plan. */
  @Command(
      name = "pause",
      mixinStandardHelpOptions = true,
      description = "Pauses a plan: no further machine of it is taken out.")
  static final class Pause extends NamedRequest {
    Pause() {
      super("pause");
    }
  }

  /** Resumes a plan that was paused or held. */
  @Command(
      name = "resume",
      mixinStandardHelpOptions = true,
      description = "Resumes a plan that was paused or held.")
  static final class Resume extends NamedRequest {
    Resume() {
      super("resume");
    }
  }

  /** Cancels a plan. */
  @Command(
      name = "cancel",
      mixinStandardHelpOptions = true,
      description = "Cancels a plan; machines that are free for work stay out until 'done'.")
  static final class Cancel extends NamedRequest {
    Cancel() {
      super("cancel");
    }
  }

  /** Gives a plan precedence over the others. */
  @Command(
      name = "urgent",
      mixinStandardHelpOptions = true,
      description = "Takes the machines of a plan out before those of other plans.")
  static final class Urgent extends NamedRequest {
    Urgent() {
      super("urgent");
    }
  }

  /** Leaves a machine out of its plan. */
  @Command(
      name = "skip",
      mixinStandardHelpOptions = true,
      description = "Leaves a machine out of its plan.")
  static final class Skip extends NamedRequest {
    Skip() {
      super("skip");
    }
  }

  /** Returns a machine to service. */
  @Command(
      name = "done",
      mixinStandardHelpOptions = true,
      description = "Declares the work on a machine finished: it may serve again.")
  static final class Done extends NamedRequest {
    Done() {
      super("done");
    }
  }

  /** Lets a machine proceed without the consent of a front end that does not answer. */
  @Command(
      name = "force",
      mixinStandardHelpOptions = true,
      description =
          "Lets a machine proceed without the consent of one front end that does not answer.")
  static final class Force extends NamedRequest {
    @Parameters(
        index = "2",
        paramLabel = "FRONT-END",
        description =
            "the front end that does not answer; make sure that it sends no work to the machine")
    private String frontEnd;

    Force() {
      super("force");
    }

    @Override
    JsonObject request() {
      JsonObject request = super.request();
      request.addProperty("member", frontEnd);
      return request;
    }
  }

  /** Removes a front end that will not come back; machines no longer wait for its confirmation. */
  @Command(
      name = "strike",
      mixinStandardHelpOptions = true,
      description = "Removes a front end that will not come back from the roll.")
  static final class Strike extends NamedRequest {
    Strike() {
      super("strike");
    }
  }

  /** The value of a field as text, empty where it is null or the object lacks it. */
  private static String text(JsonObject object, String key) {
    return object.has(key) && !object.get(key).isJsonNull() ? object.get(key).getAsString() : "";
  }

  private static String joined(JsonElement list) {
    List<String> all = new ArrayList<>();
    list.getAsJsonArray().forEach(element -> all.add(element.getAsString()));
    return String.join("; ", all);
  }

  private static void print(PrintWriter out, JsonObject answer) {
    JsonObject ledger = answer.getAsJsonObject("ledger");
    out.printf(
        "version %d as %s knows it%s, %d front ends on the roll%s%n",
        answer.get("version").getAsLong(),
        text(answer, "member"),
        answer.get("drives").getAsBoolean() ? ", which drives" : "",
        ledger.getAsJsonArray("roll").size(),
        answer.get("on_roll").getAsBoolean() ? "" : ", NOT this one");
    for (JsonElement element : ledger.getAsJsonArray("plans")) {
      JsonObject plan = element.getAsJsonObject();
      out.printf(
          "plan %s %s%s: %s, by %s%n",
          text(plan, "id"),
          text(plan, "state").toLowerCase(Locale.ROOT),
          text(plan, "reason").isEmpty() ? "" : " (" + text(plan, "reason") + ")",
          text(plan, "why"),
          text(plan, "by"));
      for (JsonElement machineElement : ledger.getAsJsonArray("machines")) {
        JsonObject machine = machineElement.getAsJsonObject();
        if (text(machine, "plan").equals(text(plan, "id"))) {
          String name = text(machine, "name");
          JsonElement waitsFor =
              answer.has("waits_for") ? answer.getAsJsonObject("waits_for").get(name) : null;
          out.printf(
              "  %-20s %-8s%s%s%s%s%n",
              name,
              text(machine, "stage").toLowerCase(Locale.ROOT),
              machine.get("overdue").getAsBoolean() ? " OVERDUE" : "",
              machine.getAsJsonArray("forced").isEmpty()
                  ? ""
                  : " forced for " + joined(machine.get("forced")),
              waitsFor == null || waitsFor.getAsJsonArray().isEmpty()
                  ? ""
                  : " waits for " + joined(waitsFor),
              text(machine, "note").isEmpty() ? "" : "  " + text(machine, "note"));
        }
      }
    }
    JsonArray trail = ledger.getAsJsonArray("trail");
    for (int i = Math.max(0, trail.size() - PRINTED_TRAIL_ENTRIES); i < trail.size(); i++) {
      JsonObject entry = trail.get(i).getAsJsonObject();
      out.printf(
          "%6d %-10s %s%n", entry.get("step").getAsLong(), text(entry, "who"), text(entry, "what"));
    }
  }
}
