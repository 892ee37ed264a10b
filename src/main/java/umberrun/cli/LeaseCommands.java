package umberrun.cli;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Who holds which duty, what a register holds, and who votes. */
final class LeaseCommands {
  private static final long ASK_MILLIS = 200;

  private LeaseCommands() {}

  /** What they have in common: a member is asked, and its no is one line and status 1. */
  abstract static class OperatorCall implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Mixin private FleetCommand.Member member;

    @Option(names = "--json", description = "as JSON")
    private boolean json;

    abstract void run(PrintWriter out) throws IOException, InterruptedException;

    JsonObject call(String words) throws IOException {
      return member.call("leases " + words);
    }

    boolean asJson(PrintWriter out, JsonObject o) {
      if (json) {
        out.println(o);
      }
      return json;
    }

    @Override
    public Integer call() throws InterruptedException {
      PrintWriter out = spec.commandLine().getOut();
      try {
        run(out);
        out.flush();
        return 0;
      } catch (IOException e) {
        return member.silent(spec, e);
      }
    }
  }

  @Command(
      name = "leases",
      mixinStandardHelpOptions = true,
      description = "Which duty is whose, as one member knows it.",
      subcommands = Release.class)
  static final class Leases extends OperatorCall {
    @Override
    void run(PrintWriter out) throws IOException {
      JsonObject o = call("show");
      if (asJson(out, o)) {
        return;
      }
      out.printf("%-20s %-20s %8s %8s %9s%n", "duty", "holder", "fence", "left s", "since s");
      for (JsonElement e : o.getAsJsonArray("duties")) {
        JsonObject d = e.getAsJsonObject();
        String holder =
            d.get("known").getAsBoolean() ? FleetCommand.text(d, "holder") : "not known yet";
        out.printf(
            "%-20s %-20s %8s %8s %9s%n",
            FleetCommand.text(d, "duty"),
            holder.isEmpty() ? "nobody" : holder,
            FleetCommand.text(d, "fence"),
            d.get("here").getAsBoolean() ? FleetCommand.seconds(d, "left_ms") : "-",
            FleetCommand.seconds(d, "since_ms"));
      }
      print(out, o.getAsJsonObject("voters"));
    }
  }

  @Command(
      name = "release",
      mixinStandardHelpOptions = true,
      description =
          "Has the holder of a duty give it back, and stay out of it for two lengths of a lease.")
  static final class Release extends OperatorCall {
    @Parameters(index = "1", paramLabel = "DUTY", description = "as the table has it")
    private String duty;

    @Override
    void run(PrintWriter out) throws IOException {
      JsonObject o = call("release " + duty);
      out.println(o.get("asked").getAsString() + " is asked to give it back");
    }
  }

  @Command(
      name = "register",
      mixinStandardHelpOptions = true,
      description = "What a register holds, as a majority agrees.")
  static final class Register extends OperatorCall {
    @Parameters(index = "1", paramLabel = "NAME", description = "as duty/probe/hall-a")
    private String name;

    @Override
    void run(PrintWriter out) throws IOException {
      JsonObject o = call("register " + name);
      if (!asJson(out, o)) {
        out.printf("version %d%n%s%n", o.get("version").getAsLong(), o.get("text").getAsString());
      }
    }
  }

  @Command(
      name = "voters",
      mixinStandardHelpOptions = true,
      description = "Who votes, as one member knows it.",
      subcommands = {Found.class, Replace.class})
  static final class VotersCommand extends OperatorCall {
    @Override
    void run(PrintWriter out) throws IOException {
      JsonObject o = call("voters");
      if (!asJson(out, o)) {
        print(out, o);
      }
    }
  }

  @Command(
      name = "found",
      mixinStandardHelpOptions = true,
      description =
          "Founds the first set, of those that the operator's files name; all must answer, and none have voted.")
  static final class Found extends OperatorCall {
    @Override
    void run(PrintWriter out) throws IOException, InterruptedException {
      call("found");
      await(this, out);
    }
  }

  @Command(
      name = "replace",
      mixinStandardHelpOptions = true,
      description =
          "Has a front end vote in the place of another, or one that "
              + "lost its folder in its own; without names it goes on with what was begun.")
  static final class Replace extends OperatorCall {
    @Parameters(index = "1", arity = "0..1", paramLabel = "LEAVES", description = "name of a voter")
    private String leaves;

    @Parameters(
        index = "2",
        arity = "0..1",
        paramLabel = "COMES",
        description = "name of a front end, or the same")
    private String comes;

    @Override
    void run(PrintWriter out) throws IOException, InterruptedException {
      if (leaves != null && comes == null) {
        throw new IOException("COMES is missing");
      }
      call("replace " + (leaves == null ? "" : leaves + " " + comes));
      await(this, out);
    }
  }

  /** Waits until what was begun at a member has ended there. */
  private static void await(OperatorCall a, PrintWriter out)
      throws IOException, InterruptedException {
    JsonObject o = a.call("voters");
    while (o.get("busy").getAsBoolean()) {
      Thread.sleep(ASK_MILLIS);
      o = a.call("voters");
    }
    if (o.has("not_done")) {
      throw new IOException("not done: " + o.get("not_done").getAsString());
    }
    print(out, o);
  }

  private static void print(PrintWriter out, JsonObject v) {
    StringBuilder keys = new StringBuilder();
    v.getAsJsonArray("voters").forEach(k -> keys.append(' ').append(k.getAsString()));
    String leaving = v.get("leaving").getAsString();
    out.printf(
        "voters%s, epoch %d%s%n",
        keys.length() == 0 ? " not known" : keys,
        v.get("epoch").getAsLong(),
        leaving.isEmpty()
            ? ""
            : ", " + leaving + " is about to leave: voters replace goes on with it");
    String key = v.get("key").getAsString();
    String fault = v.get("why_not").getAsString();
    out.println(
        !key.isEmpty()
            ? "this one votes as " + key + ", " + v.get("registers").getAsInt() + " registers"
            : fault.isEmpty() ? "this one does not vote" : "this one does NOT VOTE: " + fault);
  }
}
