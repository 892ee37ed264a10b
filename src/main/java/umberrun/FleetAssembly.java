package umberrun;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import umberrun.admission.Account;
import umberrun.config.Config;
import umberrun.config.OperatorFile;
import umberrun.core.Clock;
import umberrun.core.Duty;
import umberrun.core.Owner;
import umberrun.fleet.net.FleetPart;
import umberrun.lease.net.LeasePart;
import umberrun.roll.Consul;
import umberrun.stats.Counters;
import umberrun.works.net.WorksPart;

/**
 * Puts together what front ends do with each other: the view of the fleet, duties by lease, works.
 * Made, and with it the classes of all three loaded, only where the operator's file has them.
 */
final class FleetAssembly {
  private final FleetPart fleet;
  private final LeasePart leases;
  private final WorksPart works;
  private final Duty duty;

  /**
   * @param shared the folder that processes of this front end share, or null
   */
  FleetAssembly(
      Vertx vertx,
      Owner owner,
      Clock clock,
      Counters counters,
      Account account,
      Config config,
      Duty duty,
      Path shared,
      Consumer<String> log) {
    OperatorFile file = config.file();
    List<String> halls = config.names().zones();
    int zone = config.settings().zone();
    String hall = zone < halls.size() ? halls.get(zone) : "";
    this.duty = duty;
    fleet =
        new FleetPart(
            vertx,
            owner,
            clock,
            counters,
            account,
            file.fleet(),
            new FleetPart.Identity(
                config.name(),
                hall,
                file.learning() == null ? "" : file.learning().listen().toString(),
                config.door() == null ? "" : config.door().toString(),
                config.settings().siblings(),
                config.seed()),
            duty::state,
            log);
    leases =
        file.leases() == null
            ? null
            : new LeasePart(
                vertx,
                clock,
                owner,
                counters,
                file.leases(),
                fleet,
                file.fleet().name(),
                halls,
                hall,
                config.seed(),
                duty::state,
                log);
    works =
        file.works() == null
            ? null
            : new WorksPart(
                vertx,
                clock,
                owner,
                counters,
                file.works(),
                fleet,
                leases.registers(),
                halls,
                config.names().kinds(),
                shared,
                log);
    if (works != null) {
      leases.bring(works.duty(), works);
    }
  }

  /**
   * @param consul where members are looked for too, or null
   */
  void start(Consul consul) {
    fleet.start(consul);
  }

  Future<List<SocketAddress>> learners() {
    return fleet.learners();
  }

  /** Another process of this front end begins or ceases to run beside this one. */
  void accompanied(boolean is) {
    if (works != null) {
      works.accompanied(is);
    }
  }

  void resumedByHand(String worker) {
    if (works != null) {
      works.resumedByHand(worker);
    }
  }

  /** Done once this front end is bound by what plans have out. */
  Future<Void> bound() {
    return works == null ? Future.succeededFuture() : works.bound();
  }

  /**
   * The process was told to end: duties are given back, and where it has a successor, that one gets
   * listener and voter's folder.
   */
  void leave(boolean succeeded) {
    Future<Void> given = leases == null ? Future.succeededFuture() : leases.leave();
    if (succeeded) {
      given
          .compose(v -> leases == null ? Future.succeededFuture() : leases.close())
          .onComplete(v -> fleet.leave(true));
    }
  }

  /** Nothing more goes out to workers: off the roll, and good-bye. */
  Future<Void> end() {
    Future<Void> offRoll =
        works == null
            ? Future.succeededFuture()
            : works.leave(duty.state() == Duty.State.HANDING_OVER);
    return offRoll.onComplete(v -> fleet.leave(false));
  }
}
