//! Sends orders through carriers, on the leader, and handles their results; on a carrier, sends them
//! to the instances.

use super::*;

impl State {
    /// Chooses the carriers by the instances of each data centre.
    pub(crate) fn choose_carriers(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(quorum) = &self.quorum else { return };
        let address = |name: &Name| Some(name.parse::<SocketAddr>().ok()?.ip());
        let members = quorum.members().iter().filter_map(|(name, _)| address(name)).collect();
        let instances = self.scheduler.instances_by_data_center();
        if let Some(count) = self.carriers.choose(now, &instances, &members) {
            let why = format!("for {} instances", instances.values().sum::<usize>());
            effects.push(log::line("carriers", count.to_string(), &why));
        }
    }

    /// Sends a call to an instance through its carrier, if it has one.
    pub(crate) fn route_order(&mut self, now: Time, call: InstanceCall) -> Effect {
        let InstanceCall { id, timeout, .. } = call;
        let instance = &call.incarnation.name;
        let data_center = self.scheduler.data_center_of(&call.incarnation);
        let carrier = data_center
            .and_then(|data_center| self.carriers.carrier_of(instance, data_center))
            .cloned();
        let clocks = &self.pending_calls.clocks;
        let deadline =
            carrier.as_ref().and_then(|carrier| clocks.translate(carrier, now + timeout));
        let (Some(to), Some(deadline)) = (carrier, deadline) else {
            return Effect::CallInstance { call, origin: None };
        };
        self.carriers.open(now, id, to.clone(), instance.clone(), timeout);
        Effect::Send { to, message: Message::Order { boot: self.boot, call, deadline } }
    }

    /// Sends an order of the leader to its instance, on a carrier; returns it if it is late.
    pub(crate) fn carry_order(
        &self,
        now: Time,
        (leader, boot): Origin,
        call: InstanceCall,
        deadline: Reading,
    ) -> Effect {
        if deadline.boot == self.boot && now < deadline.at {
            return Effect::CallInstance { call, origin: Some((leader, boot)) };
        }
        let result = Err(job::CallError::Timeout);
        Effect::Send { to: leader, message: Message::OrderResult { id: call.id, boot, result } }
    }

    /// Handles the result of an order that a carrier returned, or that none returned in time.
    pub(crate) fn on_order_result(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        id: job::CallId,
        result: Result<job::Reply, job::CallError>,
        effects: &mut Vec<Effect>,
    ) {
        let (open, suspended) = self.carriers.finish(now, id, result.is_ok());
        if let Some(carrier) = suspended {
            let why = "reached none of several instances";
            effects.push(log::line("carrier-suspended", carrier.to_string(), why));
        }
        if open {
            let event = job::Event::InstanceAnswered { id, result };
            self.step_scheduler(now, unix, event, effects);
        }
    }
}
