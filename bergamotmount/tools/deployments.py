"""The two deployments of the requirements, with their actual sizes."""

import dataclasses

FAILURE_DOMAINS = ('fd-1', 'fd-2', 'fd-3', 'fd-4')


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSize:
    """Number of servers of a service; slots and connections of each."""

    servers: int
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class DemoOperation:
    """Operation as the policy declares it and the stub servers run it."""

    level: int
    idempotent: bool
    service_ms: float
    callees: tuple[str, ...] = ()
    timeout_ms: int = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Services, operations and mix of root requests of a deployment.

    ``mix`` holds the weights of the operations that outside clients call.
    """

    name: str
    region: str
    service_by_name: dict[str, ServiceSize]
    operation_by_name: dict[str, DemoOperation]
    mix: dict[str, int]

    def operations_of(self, service: str) -> dict[str, DemoOperation]:
        """Return the operations of a service, without the service prefix."""
        prefix = f'{service}/'
        return {
            name.removeprefix(prefix): operation
            for name, operation in self.operation_by_name.items()
            if name.startswith(prefix)
        }


ADOMAKO = Deployment(
    name='adomako',
    region='gh-south',
    service_by_name={
        'meterdesk': ServiceSize(4, 55, 440),
        'supplyline': ServiceSize(4, 55, 440),
        'billhouse': ServiceSize(4, 55, 440),
        'fieldbench': ServiceSize(4, 15, 180),
    },
    operation_by_name={
        'meterdesk/report_jam': DemoOperation(
            1,
            True,
            8,
            ('supplyline/check_parts',),
        ),
        'meterdesk/show_status': DemoOperation(
            2,
            True,
            4,
            ('supplyline/check_parts',),
        ),
        'meterdesk/read_meter': DemoOperation(2, True, 4),
        'supplyline/check_parts': DemoOperation(
            2,
            True,
            6,
            ('billhouse/check_contract',),
        ),
        'supplyline/order_toner': DemoOperation(
            0,
            False,
            8,
            ('billhouse/invoice',),
        ),
        'billhouse/check_contract': DemoOperation(
            2,
            True,
            5,
            ('fieldbench/find_visit',),
        ),
        'billhouse/invoice': DemoOperation(
            0,
            False,
            8,
            ('meterdesk/read_meter', 'fieldbench/plan_visit'),
        ),
        'fieldbench/find_visit': DemoOperation(2, True, 10),
        'fieldbench/plan_visit': DemoOperation(0, False, 12),
        'fieldbench/dispatch': DemoOperation(
            0,
            False,
            10,
            ('meterdesk/read_meter',),
        ),
    },
    mix={
        'meterdesk/report_jam': 30,
        'meterdesk/show_status': 40,
        'supplyline/order_toner': 20,
        'fieldbench/dispatch': 10,
    },
)

NORRVIK = Deployment(
    name='norrvik',
    region='norrland',
    service_by_name={
        'saldo': ServiceSize(6, 135, 900),
        'anslut': ServiceSize(4, 200, 1300),
        'inbetal': ServiceSize(4, 200, 1300),
        'fondval': ServiceSize(4, 35, 300),
    },
    operation_by_name={
        'saldo/look_up': DemoOperation(
            2,
            True,
            5,
            ('inbetal/list_payments',),
        ),
        'saldo/book': DemoOperation(0, False, 8, ('fondval/place_order',)),
        'anslut/enrol': DemoOperation(
            0,
            False,
            10,
            ('inbetal/register',),
        ),
        'anslut/read_member': DemoOperation(
            2,
            True,
            5,
            ('fondval/list_funds',),
        ),
        'inbetal/list_payments': DemoOperation(
            2,
            True,
            6,
            ('anslut/read_member',),
        ),
        'inbetal/register': DemoOperation(0, False, 8, ('saldo/book',)),
        'inbetal/transfer': DemoOperation(0, False, 10, ('saldo/book',)),
        'fondval/list_funds': DemoOperation(2, True, 10),
        'fondval/place_order': DemoOperation(0, False, 12),
        'inbetal/pay_in': DemoOperation(1, False, 8, ('saldo/book',)),
    },
    mix={
        'saldo/look_up': 60,
        'anslut/enrol': 15,
        'inbetal/transfer': 15,
        'inbetal/pay_in': 10,
    },
)

DEPLOYMENT_BY_NAME = {each.name: each for each in (ADOMAKO, NORRVIK)}
